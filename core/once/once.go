// Package once keeps the claims of idempotency keys of one data centre group.
// A key is claimed before its request is sent, so that a second request with
// the same key is not run.
package once

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

const (
	// keepFor and keepMost bound the claims that are kept.
	keepFor  = 24 * time.Hour
	keepMost = 1_000_000
)

// State is what is known about the request that claimed a key.
type State uint8

// The states. The zero value is a key that nobody claimed.
const (
	None State = iota
	// Running means that the request was claimed and may be running.
	Running
	// Unknown means that the request may have run.
	Unknown
	// Answered means that the request ran and its response arrived.
	Answered
)

// String returns the name used in the API.
func (st State) String() string { return [...]string{"none", "running", "unknown", "answered"}[st] }

// Op is the kind of a command.
type Op uint8

// The operations.
const (
	// Claim takes a key for an owner.
	Claim Op = iota + 1
	// Settle records how the request of the owner ended.
	Settle
	// Release gives up the claim of an owner whose request was not run.
	Release
)

// Command is one entry of the log.
type Command struct {
	op    Op
	key   string
	owner string
	state State
	at    time.Duration
	bound time.Duration
}

// NewClaim returns the claim of key by owner, which names one request. at is
// the wall clock time since the Unix epoch on the proposing VM; bound is the
// longest time that the request can run.
func NewClaim(key, owner string, at, bound time.Duration) Command {
	return Command{op: Claim, key: key, owner: owner, at: at, bound: bound}
}

// NewSettle returns the record that the request of owner ended with state.
func NewSettle(key, owner string, st State, at time.Duration) Command {
	return Command{op: Settle, key: key, owner: owner, state: st, at: at}
}

// NewRelease returns the record that the request of owner was not run.
func NewRelease(key, owner string, at time.Duration) Command {
	return Command{op: Release, key: key, owner: owner, at: at}
}

// NewCommand returns a command from its parts. Decoders use it.
func NewCommand(op Op, key, owner string, st State, at, bound time.Duration) Command {
	return Command{op: op, key: key, owner: owner, state: st, at: at, bound: bound}
}

// Op returns the kind of the command.
func (co Command) Op() Op { return co.op }

// Key returns the idempotency key, prefixed by its service.
func (co Command) Key() string { return co.key }

// Owner names the request that the command is about.
func (co Command) Owner() string { return co.owner }

// State returns the state that Settle records.
func (co Command) State() State { return co.state }

// At returns the wall clock time of the proposing VM since the Unix epoch.
func (co Command) At() time.Duration { return co.at }

// Bound returns the longest time that the claiming request can run.
func (co Command) Bound() time.Duration { return co.bound }

// Result is the answer to a command.
type Result struct {
	first bool
	state State
}

// NewResult returns a result. Decoders use it.
func NewResult(first bool, st State) Result { return Result{first: first, state: st} }

// First reports whether the owner holds the claim and may send its request, or
// whether a settlement was recorded.
func (re Result) First() bool { return re.first }

// State returns the state of the key after the command. Of a duplicate it is
// the state of the request that holds the claim.
func (re Result) State() State { return re.state }

// Record is one claim in a snapshot.
type Record struct {
	key   string
	owner string
	state State
	at    time.Duration
	bound time.Duration
}

// NewRecord returns a record from its parts. Decoders use it.
func NewRecord(key, owner string, st State, at, bound time.Duration) Record {
	return Record{key: key, owner: owner, state: st, at: at, bound: bound}
}

// Key returns the idempotency key.
func (re Record) Key() string { return re.key }

// Owner names the request that claimed the key.
func (re Record) Owner() string { return re.owner }

// State returns the recorded state.
func (re Record) State() State { return re.state }

// At returns when the key was claimed.
func (re Record) At() time.Duration { return re.at }

// Bound returns the longest time that the claiming request can run.
func (re Record) Bound() time.Duration { return re.bound }

// Snapshot is a copy of all claims in claim order.
type Snapshot struct {
	records []Record
	clock   time.Duration
}

// NewSnapshot returns a snapshot from its parts. Decoders use it.
func NewSnapshot(res []Record, clock time.Duration) Snapshot {
	return Snapshot{records: res, clock: clock}
}

// Records returns the claims in claim order.
func (sn Snapshot) Records() []Record { return slices.Clone(sn.records) }

// Clock returns the latest time seen in a command.
func (sn Snapshot) Clock() time.Duration { return sn.clock }

var _ quorum.Replica[Command, Result, Snapshot] = (*Claims)(nil)

// Home returns the data centre whose group keeps key: the one with the highest
// hash of key and name. It returns an empty name when there are no centres.
func Home(key string, centres []model.CentreID) model.CentreID {
	if len(centres) == 0 {
		return ""
	}
	return slices.MaxFunc(centres, func(one, two model.CentreID) int {
		return cmp.Or(cmp.Compare(weight(key, one), weight(key, two)), cmp.Compare(one, two))
	})
}

// weight is the FNV-1a hash of both names, mixed so that similar names spread.
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
