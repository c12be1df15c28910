package disk

import (
	"crypto/rand"
	"encoding/hex"

	"guavarail/core/quorum"
)

// Log is the durable log of a replica. Its methods are called by one actor.
type Log interface {
	// Append sets the hard state and adds entries. The first of them replaces the
	// stored ones with the same and higher indexes. The changes are durable after Sync.
	Append(hs quorum.HardState, ents []quorum.Entry) error
	// Sync makes all appended changes durable.
	Sync() error
	// Replace durably replaces the stored log and hard state, and the changes that are not
	// synced, by the given ones.
	Replace(hs quorum.HardState, ents []quorum.Entry) error
}

// Snapshots stores the snapshots of a replica. Its methods are called by one actor.
type Snapshots interface {
	// Save stores a snapshot durably and removes older ones.
	Save(snap quorum.Snapshot, data []byte) error
	// Receive stores a chunk of a snapshot that another replica sends. The chunk at
	// offset 0 starts a new snapshot. After the last chunk, the snapshot is durable
	// and Receive returns its whole data.
	Receive(snap quorum.Snapshot, offset uint64, data []byte, last bool) ([]byte, error)
	// Read returns length bytes at offset of the data of a stored snapshot, or nil if the
	// snapshot is not stored.
	Read(snap quorum.Snapshot, offset, length uint64) ([]byte, error)
}

// Store is the durable state of a replica.
type Store interface {
	// Disk returns the identity of the store, which changes only if its data is lost.
	Disk() quorum.DiskID
	// Load returns the stored state and the data of its snapshot, which is nil without a
	// snapshot.
	Load() (quorum.StoredState, []byte, error)
	Log() Log
	Snapshots() Snapshots
}

// newDiskID returns a random identity of a store.
func newDiskID() quorum.DiskID {
	var buf [8]byte
	_, _ = rand.Read(buf[:]) // crypto/rand.Read never returns an error
	return quorum.DiskID(hex.EncodeToString(buf[:]))
}
