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
	snapshotPrefix = "snapshot-"
	receivedName   = "received" + tempSuffix
	sumSize        = 4
)

// fileSnapshots are the snapshot files. A file has a frame with the
// description, the data, and the CRC-32C of the data.
type fileSnapshots struct {
	fs  FS
	dir string
	// newest is the stored snapshot, and dataStart the offset of its data.
	newest    quorum.Snapshot
	dataStart int64
	incoming  incoming
}

// incoming is a snapshot that is being received.
type incoming struct {
	file File
	snap quorum.Snapshot
	data []byte
	sum  uint32
}

func (fs *fileSnapshots) path(snap quorum.Snapshot) string {
	return filepath.Join(fs.dir, fmt.Sprintf("%s%020d", snapshotPrefix, snap.Index()))
}

// load reads the newest snapshot among the names.
func (fs *fileSnapshots) load(names []string) (quorum.Snapshot, []byte, error) {
	newest := ""
	for _, name := range names {
		// The names are sorted, and the index in them has leading zeros.
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

// Save stores a snapshot and removes older ones.
func (fs *fileSnapshots) Save(snap quorum.Snapshot, data []byte) error {
	if snap.Index() <= fs.newest.Index() {
		return nil
	}
	head, err := snapshotHead(snap)
	if err != nil {
		return err
	}
	if err := writeFile(fs.fs, fs.path(snap), head, data, sumOf(checksum(data))); err != nil {
		return err
	}
	return fs.stored(snap, int64(len(head)))
}

func snapshotHead(snap quorum.Snapshot) ([]byte, error) {
	buf, err := wire.EncodeQuorumSnapshot(snap)
	if err != nil {
		return nil, fileError("encode", "snapshot", err)
	}
	return appendFrame(nil, buf), nil
}

func sumOf(sum uint32) []byte { return binary.LittleEndian.AppendUint32(nil, sum) }

// stored removes the snapshots that a new one replaces.
func (fs *fileSnapshots) stored(snap quorum.Snapshot, dataStart int64) error {
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

// Receive writes one piece of a snapshot.
func (fs *fileSnapshots) Receive(snap quorum.Snapshot, offset uint64, data []byte, last bool) ([]byte, error) {
	if offset == 0 {
		if err := fs.begin(snap); err != nil {
			return nil, err
		}
	}
	in := &fs.incoming
	if in.file == nil || in.snap.Index() != snap.Index() || uint64(len(in.data)) != offset {
		return nil, &CorruptError{file: receivedName, offset: int64(offset), reason: "a piece is missing"}
	}
	if _, err := in.file.Write(data); err != nil {
		return nil, fileError("write", receivedName, err)
	}
	in.data = append(in.data, data...)
	in.sum = crc32.Update(in.sum, castagnoli, data)
	if !last {
		return nil, nil
	}
	return fs.finish()
}

// begin starts a received file over.
func (fs *fileSnapshots) begin(snap quorum.Snapshot) error {
	fs.close()
	head, err := snapshotHead(snap)
	if err != nil {
		return err
	}
	fil, err := fs.fs.Create(filepath.Join(fs.dir, receivedName))
	if err != nil {
		return fileError("create", receivedName, err)
	}
	fs.incoming = incoming{file: fil, snap: snap}
	_, err = fil.Write(head)
	return fileError("write", receivedName, err)
}

// finish makes a received snapshot durable under its name.
func (fs *fileSnapshots) finish() ([]byte, error) {
	in := fs.incoming
	fs.incoming = incoming{}
	head, err := snapshotHead(in.snap)
	if err != nil {
		return nil, err
	}
	if _, err := in.file.Write(sumOf(in.sum)); err != nil {
		return nil, fileError("write", receivedName, err)
	}
	if err := publish(fs.fs, in.file, filepath.Join(fs.dir, receivedName), fs.path(in.snap)); err != nil {
		return nil, err
	}
	if in.snap.Index() >= fs.newest.Index() {
		return in.data, fs.stored(in.snap, int64(len(head)))
	}
	return in.data, nil
}

// Read returns a part of the newest snapshot.
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

func (fs *fileSnapshots) close() {
	if fs.incoming.file != nil {
		_ = fs.incoming.file.Close()
		fs.incoming = incoming{}
	}
}
