package disk

import (
	"crypto/rand"
	"encoding/hex"

	"guavarail/core/quorum"
)

// Log is the durable log of a replica. It is owned by one actor.
type Log interface {
	// Append adds changes of the log. They are on disk after Sync.
	Append(hard quorum.HardState, ents []quorum.Entry) error
	// Sync makes everything that was appended durable.
	Sync() error
	// Replace puts the given log in the place of the stored one, durably.
	Replace(hard quorum.HardState, ents []quorum.Entry) error
}

// Snapshots are the stored states of a replica. They are owned by one actor.
type Snapshots interface {
	// Save stores a snapshot durably and removes older ones.
	Save(snap quorum.Snapshot, data []byte) error
	// Receive writes a piece of a snapshot that another replica sends. A piece
	// at offset 0 starts over. The last piece makes the snapshot durable and
	// returns its whole data.
	Receive(snap quorum.Snapshot, offset uint64, data []byte, last bool) ([]byte, error)
	// Read returns a part of a stored snapshot, or nil when it is not stored.
	Read(snap quorum.Snapshot, offset, length uint64) ([]byte, error)
}

// Store is what one replica keeps.
type Store interface {
	// Disk returns the identity of the store.
	Disk() quorum.DiskID
	// Load returns the stored state, with the data of its snapshot.
	Load() (quorum.StoredState, []byte, error)
	Log() Log
	Snapshots() Snapshots
}

// newDiskID returns a random identity.
func newDiskID() quorum.DiskID {
	var buf [8]byte
	_, _ = rand.Read(buf[:]) // crypto/rand.Read never returns an error
	return quorum.DiskID(hex.EncodeToString(buf[:]))
}
