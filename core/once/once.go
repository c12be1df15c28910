// Package once holds the claims of idempotency keys that the group of one data
// centre replicates. A request claims its key before it is sent to a backend
// server, so that a second request with the same key is not executed. The claim
// records which request owns the key and the outcome of that request.
package once

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

const (
	// claimTTL and maxClaims limit the age and the number of stored claims. The
	// oldest ones are removed, whatever their state.
	claimTTL  = 24 * time.Hour
	maxClaims = 1_000_000
)

// State is the state of a key: whether it is claimed, and the outcome of the request
// that claimed it.
type State uint8

// The states, in the order in which a claim passes through them. Settle never
// returns a claim to an earlier one.
const (
	// None means that the key is not claimed.
	None State = iota
	// Running means that the key is claimed and the request may be running.
	Running
	// Unknown means that the request may or may not have run, because no response
	// was received.
	Unknown
	// Answered means that the request ran and its response was received.
	Answered
)

// String returns the name of the state in the API.
func (st State) String() string { return [...]string{"none", "running", "unknown", "answered"}[st] }

// Op is the operation of a command.
type Op uint8

// The operations.
const (
	// Claim claims a key for an owner, which is one request.
	Claim Op = iota + 1
	// Settle records the outcome of the owner's request.
	Settle
	// Release removes the claim of an owner whose request did not run.
	Release
)

// Command is one operation on a key, replicated as an entry of the log.
type Command struct {
	op         Op
	key        string
	owner      string
	state      State
	at         time.Duration
	maxRunTime time.Duration
}

// NewClaim returns a command that claims key, prefixed with the name of its service,
// for owner, the identifier of one request. at is the wall clock time since the
// Unix epoch on the proposing VM, and maxRunTime the longest time that the request
// can run, or 0 if unlimited.
func NewClaim(key, owner string, at, maxRunTime time.Duration) Command {
	return Command{op: Claim, key: key, owner: owner, at: at, maxRunTime: maxRunTime}
}

// NewSettle returns a command that records st as the outcome of the owner's
// request.
func NewSettle(key, owner string, st State, at time.Duration) Command {
	return Command{op: Settle, key: key, owner: owner, state: st, at: at}
}

// NewRelease returns a command that releases the claim of owner, whose request
// did not run.
func NewRelease(key, owner string, at time.Duration) Command {
	return Command{op: Release, key: key, owner: owner, at: at}
}

// NewCommand returns a command from its fields. It is meant for decoders.
func NewCommand(op Op, key, owner string, st State, at, maxRunTime time.Duration) Command {
	return Command{op: op, key: key, owner: owner, state: st, at: at, maxRunTime: maxRunTime}
}

// Op returns the operation of the command.
func (co Command) Op() Op { return co.op }

// Key returns the idempotency key, prefixed with the name of its service.
func (co Command) Key() string { return co.key }

// Owner returns the identifier of the request that claims or holds the key.
func (co Command) Owner() string { return co.owner }

// State returns the outcome that Settle records. It is None for other operations.
func (co Command) State() State { return co.state }

// At returns the wall clock time of the proposing VM since the Unix epoch.
func (co Command) At() time.Duration { return co.at }

// MaxRunTime returns the longest time that the request that claims the key can run.
// It is 0 if the time is unlimited, and for operations other than Claim.
func (co Command) MaxRunTime() time.Duration { return co.maxRunTime }

// Result is the result of a command.
type Result struct {
	accepted bool
	state    State
}

// NewResult returns a result. It is meant for decoders.
func NewResult(accepted bool, st State) Result { return Result{accepted: accepted, state: st} }

// Accepted reports whether the command took effect. After Claim, the request owns
// the key and may be sent to a backend server; after Settle or Release, the outcome
// or the release is recorded.
func (re Result) Accepted() bool { return re.accepted }

// State returns the state of the key after the command. For a duplicate request
// it is the outcome of the request that owns the key.
func (re Result) State() State { return re.state }

// Record is one claim in a snapshot.
type Record struct {
	key        string
	owner      string
	state      State
	at         time.Duration
	maxRunTime time.Duration
}

// NewRecord returns a record from its fields.
func NewRecord(key, owner string, st State, at, maxRunTime time.Duration) Record {
	return Record{key: key, owner: owner, state: st, at: at, maxRunTime: maxRunTime}
}

// Key returns the idempotency key.
func (re Record) Key() string { return re.key }

// Owner returns the identifier of the request that claimed the key.
func (re Record) Owner() string { return re.owner }

// State returns the recorded state. It remains Running if the owner never settles
// the claim.
func (re Record) State() State { return re.state }

// At returns the time of the claim since the Unix epoch.
func (re Record) At() time.Duration { return re.at }

// MaxRunTime returns the longest time that the request that claimed the key can
// run, or 0 if unlimited.
func (re Record) MaxRunTime() time.Duration { return re.maxRunTime }

// Snapshot is a copy of a Claims.
type Snapshot struct {
	records []Record
	clock   time.Duration
}

// NewSnapshot returns a snapshot from its fields. It is meant for decoders.
func NewSnapshot(res []Record, clock time.Duration) Snapshot {
	return Snapshot{records: res, clock: clock}
}

// Records returns the claims in the order in which they were made.
func (sn Snapshot) Records() []Record { return slices.Clone(sn.records) }

// Clock returns the latest time in a command, since the Unix epoch.
func (sn Snapshot) Clock() time.Duration { return sn.clock }

var _ quorum.Replica[Command, Result, Snapshot] = (*Claims)(nil)

// Home returns the data centre whose group holds the claim of key. It uses
// rendezvous hashing: it selects the centre with the highest weight for the key,
// so that the loss of a centre changes the home of only that centre's keys. It
// returns an empty ID if there are no centres.
func Home(key string, centres []model.CentreID) model.CentreID {
	if len(centres) == 0 {
		return ""
	}
	return slices.MaxFunc(centres, func(one, two model.CentreID) int {
		return cmp.Or(cmp.Compare(weight(key, one), weight(key, two)), cmp.Compare(one, two))
	})
}

// weight returns the FNV-1a hash of centre and key. A final mixing step spreads
// the hashes of similar names.
func weight(key string, centre model.CentreID) uint64 {
	hash := uint64(14695981039346656037)
	for _, part := range []string{string(centre), "\x00", key} {
		for i := range len(part) {
			hash = (hash ^ uint64(part[i])) * 1099511628211
		}
	}
	hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccd
	return hash ^ (hash >> 33)
}
