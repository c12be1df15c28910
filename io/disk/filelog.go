package disk

import (
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"guavarail/core/quorum"
	"guavarail/io/wire"
)

// fileLog is the log in a file. All records between two syncs form one frame, so that
// a crash during the sync damages only the last frame, whichever of its disk blocks were
// written. A record is one call of Append.
type fileLog struct {
	fs     FS
	dir    string
	logger hclog.Logger
	file   File
	// batch holds the records that the next Sync writes.
	batch wire.QuorumBatch
}

func (fl *fileLog) path() string { return filepath.Join(fl.dir, logName) }

// load opens the file for appending, reads the log and truncates a torn last frame, which
// is one that a crash left incomplete. What it returns is durable: the last process may
// have ended between the write and the sync of a frame, or between the renaming of a file
// and the sync of the directory.
func (fl *fileLog) load() (recoveredLog, error) {
	var rec recoveredLog
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
			if err := fl.truncateTorn(buf, rest); err != nil {
				return rec, err
			}
			break
		}
		if err := addBatch(&rec, payload); err != nil {
			return rec, &CorruptError{file: fl.path(), offset: int64(len(buf) - len(rest)), reason: err.Error()}
		}
		rest = next
	}
	if err := fl.file.Sync(); err != nil {
		return rec, fileError("sync", fl.path(), err)
	}
	return rec, fileError("sync", fl.dir, fl.fs.SyncDir(fl.dir))
}

// truncateTorn removes rest, the end of buf that starts with a frame whose write a crash
// interrupted. If an intact frame follows it, the damage has another cause and is a
// CorruptError.
func (fl *fileLog) truncateTorn(buf, rest []byte) error {
	offset := int64(len(buf) - len(rest))
	if hasLaterFrame(rest) {
		return &CorruptError{file: fl.path(), offset: offset, reason: "a record is damaged"}
	}
	fl.logger.Warn("log truncated at a torn last frame", "file", fl.path(), "offset", offset, "bytes", len(rest))
	return fileError("truncate", fl.path(), fl.file.Truncate(offset))
}

// addBatch applies the records of one frame to rec.
func addBatch(rec *recoveredLog, payload []byte) error {
	var batch wire.QuorumBatch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return err
	}
	for _, msg := range batch.GetRecords() {
		if err := rec.add(wire.QuorumRecordFromProto(msg)); err != nil {
			return err
		}
	}
	return nil
}

// Append implements Log. It adds a record to the frame that the next Sync writes.
func (fl *fileLog) Append(hs quorum.HardState, ents []quorum.Entry) error {
	fl.batch.Records = append(fl.batch.Records, wire.QuorumRecordToProto(hs, ents))
	return nil
}

// Sync implements Log. It writes the frame and syncs the file; without records it does
// nothing.
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

// encodeBatch returns the frame of a batch.
func encodeBatch(batch *wire.QuorumBatch) ([]byte, error) {
	buf, err := proto.Marshal(batch)
	return appendFrame(nil, buf), err
}

// Replace implements Log. It writes a new file and renames it. The given log must include
// the records that were appended but not synced, since they are not written again.
func (fl *fileLog) Replace(hs quorum.HardState, ents []quorum.Entry) error {
	fl.batch.Records = nil
	frame, err := encodeBatch(&wire.QuorumBatch{Records: []*wire.QuorumRecord{wire.QuorumRecordToProto(hs, ents)}})
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
