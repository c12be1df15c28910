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
	// DefaultSnapshotEntries is the default of Config.SnapshotEntries. It limits
	// the number of entries that are replayed at a restart.
	DefaultSnapshotEntries = 1000
	// DefaultSnapshotBytes is the default of Config.SnapshotBytes. It limits the
	// size of those entries.
	DefaultSnapshotBytes = 4 << 20
	// DefaultChunkBytes is the default of Config.ChunkBytes.
	DefaultChunkBytes = 256 << 10

	// trailingEntries and trailingBytes limit the number and size of the entries
	// before a snapshot that stay in memory, so that a slightly lagging follower
	// can catch up without a snapshot transfer.
	trailingEntries = 1000
	trailingBytes   = 16 << 20
	// maxAppendBytes and maxAppendEntries limit the size and number of the
	// entries in an Append message, to keep it well below the maximum frame size
	// of 8 MB.
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 4096
	// maxAppendsInFlight is the maximum number of unacknowledged Append messages
	// with entries per member. It is above 1 so that disk writes and network
	// transfers overlap. Commands that arrive while the limit is reached are sent
	// in one batch.
	maxAppendsInFlight = 4
	// learnerHeartbeatRounds is the number of heartbeat rounds in which a learner
	// receives one heartbeat. Learners do not count for the lease, so they need
	// fewer than voters.
	learnerHeartbeatRounds = 4
	// chunkTimeout is the time after which an unacknowledged snapshot chunk is
	// sent again.
	chunkTimeout = time.Second
	// snapshotStallTimeout is the time without progress after which a snapshot
	// transfer no longer prevents a newer snapshot from being taken.
	snapshotStallTimeout = 10 * time.Second
	// changeTimeout is the default time after which a membership change is rejected if
	// the members that it depends on do not reply or catch up, so that other
	// changes can proceed.
	changeTimeout = 30 * time.Second
	// neverAcked stands for the send time of the last acknowledged message of a
	// member that has not replied yet. It is earlier than any send time.
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
	// MinCopies is the number of voters' disks that must have an entry before it
	// is committed, in addition to the majority that is always needed. A group
	// with fewer voters needs all of them. Elections need only a majority.
	MinCopies int
	// Seed initializes the random election timeouts. Self is mixed in, so the
	// replicas may share one seed.
	Seed uint64
	// SnapshotEntries and SnapshotBytes decide when a snapshot is taken: once the
	// entries applied since the last one reach either this number or this size
	// in bytes. Zero selects the default.
	SnapshotEntries uint64
	SnapshotBytes   int
	// ChunkBytes is the chunk size of a snapshot transfer in bytes. Zero selects
	// the default.
	ChunkBytes uint64
	// Stored is the state recovered from the store. It is zero for a new
	// replica.
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
