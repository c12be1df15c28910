package quorum

import (
	"time"

	"guavarail/core/model"
)

// Timing of elections and leases. A follower rejects vote requests for
// MinElectionTimeout after the last message from a leader. The lease is shorter
// than that by more than twice the clock drift bound, so it expires before
// another leader can be elected.
const (
	HeartbeatInterval  = 150 * time.Millisecond
	MinElectionTimeout = 1000 * time.Millisecond
	MaxElectionTimeout = 2000 * time.Millisecond
	LeaseDuration      = 800 * time.Millisecond
)

const (
	// DefaultSnapshotEntries limits the entries that are replayed at a restart.
	DefaultSnapshotEntries = 1000
	// DefaultSnapshotBytes limits the size of those entries.
	DefaultSnapshotBytes = 4 << 20
	// DefaultChunkBytes is the chunk size of a snapshot transfer.
	DefaultChunkBytes = 256 << 10

	// trailingEntries is the number of entries before a snapshot that stay in
	// memory, so that a slightly lagging follower can catch up without one.
	trailingEntries = 1000
	// appendBytes and appendEntries keep an Append message well below the
	// maximum frame size of 8 MB.
	appendBytes   = 1 << 20
	appendEntries = 4096
	// appendsInFlight is the number of unacknowledged Append messages per
	// member, so that disk writes and network transfers overlap. Commands that
	// arrive while the limit is reached are sent in one batch.
	appendsInFlight = 4
	// learnerHeartbeatRounds is the number of heartbeat rounds per heartbeat to
	// a learner. Learners do not count for the lease.
	learnerHeartbeatRounds = 4
	// chunkTimeout is the time after which an unacknowledged snapshot chunk is
	// sent again.
	chunkTimeout = time.Second
	// snapshotStallTimeout is the time without progress after which a snapshot
	// transfer no longer prevents a newer snapshot from being taken.
	snapshotStallTimeout = 10 * time.Second
	// changeTimeout is the time after which a membership change is rejected if
	// its members do not reply or catch up, so that other changes can proceed.
	changeTimeout = 30 * time.Second
	// neverAcked is earlier than the send time of any heartbeat round.
	neverAcked = model.Instant(-1 << 62)
)

// Config describes one replica of a group.
type Config struct {
	// Self is the VM of the replica.
	Self model.VMID
	// Disk is the identity of the replica's data directory.
	Disk DiskID
	// Voters and Learners are the initial members of the group. They are
	// ignored once the log or the snapshot contains a configuration. If Voters
	// is empty, Self is the only voter.
	Voters   []model.VMID
	Learners []model.VMID
	// Seed initializes the random election timeouts. Self is mixed in, so the
	// replicas may share one seed.
	Seed uint64
	// SnapshotEntries and SnapshotBytes are the number and size of the entries
	// applied since the last snapshot at which the next one is taken. Zero
	// selects the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int
	// ChunkBytes is the chunk size of a snapshot transfer. Zero selects the
	// default.
	ChunkBytes uint64
	// Stored is the state recovered from the store.
	Stored StoredState
}

func (cfg Config) withDefaults() Config {
	if len(cfg.Voters) == 0 {
		cfg.Voters = []model.VMID{cfg.Self}
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}
	return cfg
}

// splitMix is a splitmix64 pseudorandom number generator. The zero value is
// ready to use.
type splitMix struct{ state uint64 }

// newSplitMix mixes the VM name into the seed, so that replicas with the same
// seed do not start elections at the same time.
func newSplitMix(seed uint64, vm model.VMID) splitMix {
	sm := splitMix{state: seed}
	for _, ch := range []byte(vm) {
		sm.state = sm.next() ^ uint64(ch)
	}
	return sm
}

func (sm *splitMix) next() uint64 {
	sm.state += 0x9e3779b97f4a7c15
	val := sm.state
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// electionTimeout returns a random time from MinElectionTimeout up to, but
// excluding, MaxElectionTimeout.
func (sm *splitMix) electionTimeout() time.Duration {
	return MinElectionTimeout + time.Duration(sm.next()%uint64(MaxElectionTimeout-MinElectionTimeout))
}
