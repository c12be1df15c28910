package disk

import (
	"slices"

	"guavarail/core/quorum"
)

// Memory is a Store for a VM without a disk. Each Memory has its own identity, so that
// a replica that restarts with an empty Memory is not mistaken for the replica before the
// restart, which may have acknowledged entries.
type Memory struct {
	disk quorum.DiskID
	log  memoryLog
	snap memorySnapshots
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{disk: newDiskID()} }

// Disk returns the identity of the store.
func (mem *Memory) Disk() quorum.DiskID { return mem.disk }

// Load returns the stored state. It must not be called while actors own the store.
func (mem *Memory) Load() (quorum.StoredState, []byte, error) {
	rec := recoveredLog{hardState: mem.log.hardState, entries: slices.Clone(mem.log.entries)}
	sv, err := rec.withSnapshot(mem.snap.snap)
	return sv, mem.snap.data, err
}

// Log returns the stored log.
func (mem *Memory) Log() Log { return &mem.log }

// Snapshots returns the stored snapshots.
func (mem *Memory) Snapshots() Snapshots { return &mem.snap }

// memoryLog is the Log of a Memory.
type memoryLog struct {
	hardState quorum.HardState
	entries   []quorum.Entry
}

func (ml *memoryLog) Append(hs quorum.HardState, ents []quorum.Entry) error {
	ml.hardState = hs
	rec := recoveredLog{entries: ml.entries}
	err := rec.add(hs, ents)
	ml.entries = rec.entries
	return err
}

func (ml *memoryLog) Sync() error { return nil }

func (ml *memoryLog) Replace(hs quorum.HardState, ents []quorum.Entry) error {
	ml.hardState, ml.entries = hs, slices.Clone(ents)
	return nil
}

// memorySnapshots is the Snapshots of a Memory, with only the newest snapshot.
type memorySnapshots struct {
	snap quorum.Snapshot
	data []byte
	// received is the data of the chunks of an incomplete snapshot.
	received []byte
}

func (ms *memorySnapshots) Save(snap quorum.Snapshot, data []byte) error {
	if snap.Index() > ms.snap.Index() {
		ms.snap, ms.data = snap, data
	}
	return nil
}

func (ms *memorySnapshots) Receive(snap quorum.Snapshot, offset uint64, data []byte, last bool) ([]byte, error) {
	ms.received = append(ms.received[:min(offset, uint64(len(ms.received)))], data...)
	if !last {
		return nil, nil
	}
	snapData := ms.received
	ms.received = nil
	return snapData, ms.Save(snap, snapData)
}

func (ms *memorySnapshots) Read(snap quorum.Snapshot, offset, length uint64) ([]byte, error) {
	if snap.Index() != ms.snap.Index() || offset+length > uint64(len(ms.data)) {
		return nil, nil
	}
	return ms.data[offset : offset+length], nil
}
