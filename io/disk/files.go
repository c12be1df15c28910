package disk

import (
	"path/filepath"
	"strconv"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/wire"
)

// formatVersion is the version of the file formats. It is increased with each change that
// older programs cannot read.
const formatVersion = 1

// Names in the data directory.
const (
	identityName = "identity"
	lockName     = "lock"
	logName      = "log"
	// tempSuffix ends the name of a file that is not complete. Open removes such files.
	tempSuffix = ".tmp"
)

// Config describes the data directory of one replica.
type Config struct {
	// Dir is the data directory, which only this replica uses.
	Dir string
	// VM and Group are the VM and the replication group of the replica. A directory of
	// another VM or group is rejected.
	VM    model.VMID
	Group string
	// FS is the file system; nil means that of the operating system.
	FS FS
	// Logger logs that a log was truncated at a torn last frame. It may be nil.
	Logger hclog.Logger
}

// Files is a Store in a data directory.
type Files struct {
	cfg  Config
	disk quorum.DiskID
	// saved and data are the state and the snapshot data that Open read, until Load
	// returns them.
	saved quorum.StoredState
	data  []byte
	log   *fileLog
	snaps *fileSnapshots
}

// Open locks and reads a data directory; an empty or missing one is initialized. Its
// error is a *LockedError, *OwnerError, *CorruptError, *GapError or *FileError. The
// clean-up function closes the files and must be called after the actors that own the
// store have ended.
func Open(cfg Config) (*Files, func(), error) {
	none := func() {}
	if cfg.FS == nil {
		cfg.FS = OS{}
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, none, fileError("create", cfg.Dir, err)
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockName))
	if err != nil {
		return nil, none, &LockedError{dir: cfg.Dir, cause: err}
	}
	fls := &Files{cfg: cfg}
	if err := fls.open(); err != nil {
		_ = lock.Close()
		return nil, none, err
	}
	return fls, func() {
		fls.log.close()
		fls.snaps.close()
		_ = lock.Close()
	}, nil
}

func (fls *Files) open() error {
	names, err := fls.removeTemps()
	if err != nil {
		return err
	}
	if err := fls.identify(names); err != nil {
		return err
	}
	fls.snaps = &fileSnapshots{fs: fls.cfg.FS, dir: fls.cfg.Dir}
	snap, data, err := fls.snaps.load(names)
	if err != nil {
		return err
	}
	fls.data = data
	fls.log = &fileLog{fs: fls.cfg.FS, dir: fls.cfg.Dir, logger: fls.cfg.Logger}
	rec, err := fls.log.load()
	if err != nil {
		return err
	}
	fls.saved, err = rec.withSnapshot(snap)
	if err != nil || len(fls.saved.Entries()) == len(rec.entries) {
		return err
	}
	// The process ended after it had stored the snapshot and before it removed the
	// snapshot's entries from the log.
	return fls.log.Replace(fls.saved.HardState(), fls.saved.Entries())
}

// removeTemps removes files whose writing was interrupted and returns the names of
// the other files.
func (fls *Files) removeTemps() ([]string, error) {
	names, err := fls.cfg.FS.List(fls.cfg.Dir)
	if err != nil {
		return nil, fileError("list", fls.cfg.Dir, err)
	}
	var remaining []string
	for _, name := range names {
		if filepath.Ext(name) != tempSuffix {
			remaining = append(remaining, name)
		} else if err := fls.cfg.FS.Remove(filepath.Join(fls.cfg.Dir, name)); err != nil {
			return nil, fileError("remove", name, err)
		}
	}
	return remaining, nil
}

// identify reads the identity of the directory, or writes a new one if the directory
// has no files besides the lock.
func (fls *Files) identify(names []string) error {
	path := filepath.Join(fls.cfg.Dir, identityName)
	hasOthers := false
	for _, name := range names {
		switch name {
		case identityName:
			return fls.readIdentity(path)
		case lockName:
		default:
			hasOthers = true
		}
	}
	if hasOthers {
		return &CorruptError{file: path, reason: "the identity is missing beside other files"}
	}
	fls.disk = newDiskID()
	buf, err := proto.Marshal(&wire.QuorumDisk{
		Version: formatVersion, Disk: string(fls.disk), Vm: string(fls.cfg.VM), Group: fls.cfg.Group,
	})
	if err != nil {
		return fileError("encode", path, err)
	}
	return writeFile(fls.cfg.FS, path, appendFrame(nil, buf))
}

func (fls *Files) readIdentity(path string) error {
	buf, err := fls.cfg.FS.ReadFile(path)
	if err != nil {
		return fileError("read", path, err)
	}
	payload, rest, ok := readFrame(buf)
	var ident wire.QuorumDisk
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, &ident) != nil {
		return &CorruptError{file: path, reason: "the identity is damaged"}
	}
	mismatch := func(field, found, want string) error {
		return &OwnerError{dir: fls.cfg.Dir, field: field, found: found, want: want}
	}
	switch {
	case ident.GetVersion() != formatVersion:
		return mismatch("version", strconv.Itoa(int(ident.GetVersion())), strconv.Itoa(formatVersion))
	case ident.GetVm() != string(fls.cfg.VM):
		return mismatch("vm", ident.GetVm(), string(fls.cfg.VM))
	case ident.GetGroup() != fls.cfg.Group:
		return mismatch("group", ident.GetGroup(), fls.cfg.Group)
	}
	fls.disk = quorum.DiskID(ident.GetDisk())
	return nil
}

// Disk returns the identity of the data directory.
func (fls *Files) Disk() quorum.DiskID { return fls.disk }

// Load returns the state and the snapshot data that Open read. It must be called only
// once, because it releases them. Its error is always nil.
func (fls *Files) Load() (quorum.StoredState, []byte, error) {
	sv, data := fls.saved, fls.data
	fls.saved, fls.data = quorum.StoredState{}, nil
	return sv, data, nil
}

// Log returns the stored log.
func (fls *Files) Log() Log { return fls.log }

// Snapshots returns the stored snapshots.
func (fls *Files) Snapshots() Snapshots { return fls.snaps }

// writeFile atomically and durably replaces the content of a file by parts: after a crash
// it has either the old or the new content.
func writeFile(fs FS, path string, parts ...[]byte) error {
	fil, err := fs.Create(path + tempSuffix)
	if err != nil {
		return fileError("create", path, err)
	}
	for _, part := range parts {
		if _, err := fil.Write(part); err != nil {
			_ = fil.Close()
			return fileError("write", path, err)
		}
	}
	return publish(fs, fil, path+tempSuffix, path)
}

// publish syncs and closes the temporary file fil, whose path is temp, renames it to path
// and syncs the directory.
func publish(fs FS, fil File, temp, path string) error {
	if err := fil.Sync(); err != nil {
		_ = fil.Close()
		return fileError("sync", path, err)
	}
	if err := fil.Close(); err != nil {
		return fileError("close", path, err)
	}
	if err := fs.Rename(temp, path); err != nil {
		return fileError("rename", path, err)
	}
	return fileError("sync", filepath.Dir(path), fs.SyncDir(filepath.Dir(path)))
}
