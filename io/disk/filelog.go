package disk

import (
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"guavarail/core/quorum"
	"guavarail/io/wire"
)

// fileLog is the log file. All records between two syncs are one frame, so
// that a crash during the sync damages the last frame only, whichever of its
// parts reached the disk.
type fileLog struct {
	fs     FS
	dir    string
	logger hclog.Logger
	file   File
	batch  wire.QuorumBatch
}

func (fl *fileLog) path() string { return filepath.Join(fl.dir, logName) }

// load reads the log, cuts off a torn last frame and opens the file.
func (fl *fileLog) load() (recovery, error) {
	var rec recovery
	file, err := fl.fs.Append(fl.path())
	if err != nil {
		return rec, fileError("open", fl.path(), err)
	}
	fl.file = file
	buf, err := fl.fs.ReadFile(fl.path())
	if err != nil {
		return rec, fileError("read", fl.path(), err)
	}
	rest := buf
	for len(rest) > 0 {
		payload, next, ok := readFrame(rest)
		if !ok {
			return rec, fl.cut(buf, rest)
		}
		if err := addBatch(&rec, payload); err != nil {
			return rec, &CorruptError{file: fl.path(), offset: int64(len(buf) - len(rest)), reason: err.Error()}
		}
		rest = next
	}
	return rec, fileError("sync", fl.dir, fl.fs.SyncDir(fl.dir))
}

// cut removes a frame that was being written when the process ended. Damage
// with a whole frame behind it is something else.
func (fl *fileLog) cut(buf, rest []byte) error {
	offset := int64(len(buf) - len(rest))
	if frameAfter(rest) {
		return &CorruptError{file: fl.path(), offset: offset, reason: "a record is damaged"}
	}
	fl.logger.Warn("torn record truncated", "file", fl.path(), "offset", offset, "bytes", len(rest))
	if err := fl.file.Truncate(offset); err != nil {
		return fileError("truncate", fl.path(), err)
	}
	return fileError("sync", fl.path(), fl.file.Sync())
}

func addBatch(rec *recovery, payload []byte) error {
	var batch wire.QuorumBatch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return err
	}
	for _, wir := range batch.GetRecords() {
		if err := rec.add(wire.QuorumRecordFromProto(wir)); err != nil {
			return err
		}
	}
	return nil
}

// Append adds a record to the next frame.
func (fl *fileLog) Append(hard quorum.HardState, ents []quorum.Entry) error {
	fl.batch.Records = append(fl.batch.Records, wire.QuorumRecordToProto(hard, ents))
	return nil
}

// Sync writes the frame and makes it durable.
func (fl *fileLog) Sync() error {
	if len(fl.batch.GetRecords()) == 0 {
		return nil
	}
	frame, err := encodeBatch(&fl.batch)
	fl.batch.Records = nil
	if err != nil {
		return fileError("encode", fl.path(), err)
	}
	if _, err := fl.file.Write(frame); err != nil {
		return fileError("write", fl.path(), err)
	}
	return fileError("sync", fl.path(), fl.file.Sync())
}

func encodeBatch(batch *wire.QuorumBatch) ([]byte, error) {
	buf, err := proto.Marshal(batch)
	return appendFrame(nil, buf), err
}

// Replace writes the log anew. Records that were appended and not synced are
// part of it.
func (fl *fileLog) Replace(hard quorum.HardState, ents []quorum.Entry) error {
	fl.batch.Records = nil
	frame, err := encodeBatch(&wire.QuorumBatch{Records: []*wire.QuorumRecord{wire.QuorumRecordToProto(hard, ents)}})
	if err != nil {
		return fileError("encode", fl.path(), err)
	}
	if err := writeFile(fl.fs, fl.path(), frame); err != nil {
		return err
	}
	_ = fl.file.Close()
	fl.file, err = fl.fs.Append(fl.path())
	return fileError("open", fl.path(), err)
}

func (fl *fileLog) close() {
	if fl.file != nil {
		_ = fl.file.Close()
	}
}
