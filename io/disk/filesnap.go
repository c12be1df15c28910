package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"guavarail/core/quorum"
	"guavarail/io/wire"
)

const (
	// snapshotPrefix starts the name of a snapshot file; the snapshot's index follows.
	snapshotPrefix = "snapshot-"
	// receivedName is the file of a snapshot of which chunks are still missing.
	receivedName = "received" + tempSuffix
	// sumSize is the size of a checksum in bytes.
	sumSize = 4
)

// fileSnapshots stores snapshots in files. A file consists of a frame with the
// description of the snapshot, the data, and the CRC-32C of the data.
type fileSnapshots struct {
	fs  FS
	dir string
	// newest is the newest stored snapshot, and dataStart the offset of its data in
	// the file.
	newest    quorum.Snapshot
	dataStart int64
	// receiving is the snapshot whose chunks are arriving; without one, its file is nil.
	receiving receivedSnapshot
}

// receivedSnapshot is a snapshot of which chunks are still missing.
type receivedSnapshot struct {
	file File
	snap quorum.Snapshot
	data []byte
	// sum is the CRC-32C of data.
	sum uint32
}

func (fs *fileSnapshots) path(snap quorum.Snapshot) string {
	return filepath.Join(fs.dir, fmt.Sprintf("%s%020d", snapshotPrefix, snap.Index()))
}

// load reads the newest snapshot among the files with the given names. Without one it
// returns the zero Snapshot.
func (fs *fileSnapshots) load(names []string) (quorum.Snapshot, []byte, error) {
	newest := ""
	for _, name := range names {
		// The last one is the newest: the names are sorted, and the index in them has
		// leading zeros.
		if strings.HasPrefix(name, snapshotPrefix) {
			newest = name
		}
	}
	if newest == "" {
		return quorum.Snapshot{}, nil, nil
	}
	path := filepath.Join(fs.dir, newest)
	buf, err := fs.fs.ReadFile(path)
	if err != nil {
		return quorum.Snapshot{}, nil, fileError("read", path, err)
	}
	head, rest, ok := readFrame(buf)
	start := int64(len(buf) - len(rest))
	if !ok {
		return quorum.Snapshot{}, nil, &CorruptError{file: path, reason: "the description is damaged"}
	}
	snap, err := wire.DecodeQuorumSnapshot(head)
	if err != nil {
		return quorum.Snapshot{}, nil, &CorruptError{file: path, reason: err.Error()}
	}
	end := len(rest) - sumSize
	if end < 0 || uint64(end) != snap.Size() || checksum(rest[:end]) != binary.LittleEndian.Uint32(rest[end:]) {
		return quorum.Snapshot{}, nil, &CorruptError{file: path, offset: start, reason: "the data is damaged"}
	}
	fs.newest, fs.dataStart = snap, start
	return snap, rest[:end], nil
}

// Save implements Snapshots. A snapshot that is not newer than the stored one is ignored.
func (fs *fileSnapshots) Save(snap quorum.Snapshot, data []byte) error {
	if snap.Index() <= fs.newest.Index() {
		return nil
	}
	head, err := encodeHead(snap)
	if err != nil {
		return err
	}
	if err := writeFile(fs.fs, fs.path(snap), head, data, encodeSum(checksum(data))); err != nil {
		return err
	}
	return fs.setNewest(snap, int64(len(head)))
}

// encodeHead returns the frame with the description of a snapshot, with which its file
// starts.
func encodeHead(snap quorum.Snapshot) ([]byte, error) {
	buf, err := wire.EncodeQuorumSnapshot(snap)
	if err != nil {
		return nil, fileError("encode", "snapshot", err)
	}
	return appendFrame(nil, buf), nil
}

func encodeSum(sum uint32) []byte { return binary.LittleEndian.AppendUint32(nil, sum) }

// setNewest makes snap, whose file is written, the newest snapshot and removes the
// files of the others.
func (fs *fileSnapshots) setNewest(snap quorum.Snapshot, dataStart int64) error {
	names, err := fs.fs.List(fs.dir)
	if err != nil {
		return fileError("list", fs.dir, err)
	}
	fs.newest, fs.dataStart = snap, dataStart
	for _, name := range names {
		path := filepath.Join(fs.dir, name)
		if strings.HasPrefix(name, snapshotPrefix) && filepath.Ext(name) != tempSuffix && path != fs.path(snap) {
			if err := fs.fs.Remove(path); err != nil {
				return fileError("remove", path, err)
			}
		}
	}
	return nil
}

// Receive implements Snapshots. A chunk that does not follow the previous one is a
// CorruptError.
func (fs *fileSnapshots) Receive(snap quorum.Snapshot, offset uint64, data []byte, last bool) ([]byte, error) {
	if offset == 0 {
		if err := fs.startReceiving(snap); err != nil {
			return nil, err
		}
	}
	rcv := &fs.receiving
	if rcv.file == nil || rcv.snap.Index() != snap.Index() || uint64(len(rcv.data)) != offset {
		return nil, &CorruptError{file: receivedName, offset: int64(offset), reason: "a piece is missing"}
	}
	if _, err := rcv.file.Write(data); err != nil {
		return nil, fileError("write", receivedName, err)
	}
	rcv.data = append(rcv.data, data...)
	rcv.sum = crc32.Update(rcv.sum, castagnoli, data)
	if !last {
		return nil, nil
	}
	return fs.finishReceiving()
}

// startReceiving drops the chunks received before, creates the file for snap and writes
// its description.
func (fs *fileSnapshots) startReceiving(snap quorum.Snapshot) error {
	fs.close()
	head, err := encodeHead(snap)
	if err != nil {
		return err
	}
	fil, err := fs.fs.Create(filepath.Join(fs.dir, receivedName))
	if err != nil {
		return fileError("create", receivedName, err)
	}
	fs.receiving = receivedSnapshot{file: fil, snap: snap}
	_, err = fil.Write(head)
	return fileError("write", receivedName, err)
}

// finishReceiving makes a completely received snapshot durable under its own file name and
// returns its data.
func (fs *fileSnapshots) finishReceiving() ([]byte, error) {
	rcv := fs.receiving
	fs.receiving = receivedSnapshot{}
	head, err := encodeHead(rcv.snap)
	if err != nil {
		return nil, err
	}
	if _, err := rcv.file.Write(encodeSum(rcv.sum)); err != nil {
		return nil, fileError("write", receivedName, err)
	}
	if err := renameDurably(fs.fs, rcv.file, filepath.Join(fs.dir, receivedName), fs.path(rcv.snap)); err != nil {
		return nil, err
	}
	if rcv.snap.Index() >= fs.newest.Index() {
		return rcv.data, fs.setNewest(rcv.snap, int64(len(head)))
	}
	return rcv.data, nil
}

// Read implements Snapshots. It also returns nil if the chunk reaches beyond the data.
func (fs *fileSnapshots) Read(snap quorum.Snapshot, offset, length uint64) ([]byte, error) {
	if snap.Index() != fs.newest.Index() || offset+length > fs.newest.Size() {
		return nil, nil
	}
	fil, err := fs.fs.Open(fs.path(snap))
	if err != nil {
		return nil, fileError("open", fs.path(snap), err)
	}
	defer func() { _ = fil.Close() }()
	buf := make([]byte, length)
	if _, err := fil.ReadAt(buf, fs.dataStart+int64(offset)); err != nil {
		return nil, fileError("read", fs.path(snap), err)
	}
	return buf, nil
}

// close drops the snapshot whose chunks are arriving.
func (fs *fileSnapshots) close() {
	if fs.receiving.file != nil {
		_ = fs.receiving.file.Close()
		fs.receiving = receivedSnapshot{}
	}
}
