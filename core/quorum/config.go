package quorum

import (
	"time"

	"guavarail/core/model"
)

// Times of elections and leases. A follower refuses votes for ElectionShortest
// after it heard from a leader; the lease is shorter by more than twice the
// drift bound, so it is over before another leader can be elected.
const (
	Heartbeat        = 150 * time.Millisecond
	ElectionShortest = 1000 * time.Millisecond
	ElectionLongest  = 2000 * time.Millisecond
	Lease            = 800 * time.Millisecond
)

const (
	// DefaultSnapshotEntries bounds the entries that a restart replays.
	DefaultSnapshotEntries = 1000
	// DefaultSnapshotBytes bounds the size of those entries.
	DefaultSnapshotBytes = 4 << 20
	// DefaultPieceBytes is the size of the pieces in which a snapshot is sent.
	DefaultPieceBytes = 256 << 10

	// trailEntries are kept in memory behind a snapshot, so that a follower
	// that is a little behind needs no snapshot.
	trailEntries = 1000
	// appendBytes and appendEntries bound one Append well under the largest
	// frame of 8 MB.
	appendBytes   = 1 << 20
	appendEntries = 4096
	// appendsInFlight lets the log and the network work at the same time;
	// commands that arrive meanwhile are sent together.
	appendsInFlight = 4
	// learnerBeats is the number of heartbeats between two to a learner.
	// Learners do not count for the lease.
	learnerBeats = 4
	// pieceTimeout is the time after which an unanswered piece is sent again.
	pieceTimeout = time.Second
	// transferStall is the time without progress after which a snapshot
	// transfer no longer holds back a newer snapshot.
	transferStall = 10 * time.Second
	// changeTimeout ends a change whose members do not answer or catch up, so
	// that other changes can be made.
	changeTimeout = 30 * time.Second
	// neverAcked is older than any round.
	neverAcked = model.Instant(-1 << 62)
)

// Config describes one replica of a group.
type Config struct {
	// Self is the VM of the replica.
	Self model.VMID
	// Disk is the identity of the replica's data directory.
	Disk DiskID
	// Voters and Learners are the first members of the group. The log takes
	// their place once it has a configuration. A group without voters consists
	// of Self.
	Voters   []model.VMID
	Learners []model.VMID
	// Seed makes the election timeouts of the replicas differ.
	Seed uint64
	// SnapshotEntries and SnapshotBytes are the log sizes after which a
	// snapshot is taken. Zero means the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int
	// PieceBytes is the size of the pieces of a snapshot. Zero means the
	// default.
	PieceBytes uint64
	// Saved is what the store held at the start.
	Saved Saved
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
	if cfg.PieceBytes == 0 {
		cfg.PieceBytes = DefaultPieceBytes
	}
	return cfg
}

// source is a splitmix64 generator. The zero value works.
type source struct{ state uint64 }

// newSource mixes the VM into the seed, so that replicas with the same seed
// do not start elections at the same time.
func newSource(seed uint64, vm model.VMID) source {
	src := source{state: seed}
	for _, ch := range []byte(vm) {
		src.state = src.next() ^ uint64(ch)
	}
	return src
}

func (src *source) next() uint64 {
	src.state += 0x9e3779b97f4a7c15
	val := src.state
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// electionTimeout returns a time between ElectionShortest and ElectionLongest.
func (src *source) electionTimeout() time.Duration {
	return ElectionShortest + time.Duration(src.next()%uint64(ElectionLongest-ElectionShortest))
}
