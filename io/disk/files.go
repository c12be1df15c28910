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
	// ownerFileName is the file with the format version, the DiskID (the identity of the
	// store), and the VM and group that own the directory.
	ownerFileName = "identity"
	lockName      = "lock"
	logName       = "log"
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
	// Rewrite makes Open write the log again. It is set after a failed write or sync, when
	// what can be read is not known to be on disk, even after another sync.
	Rewrite bool
	// FS is the file system; nil means that of the operating system.
	FS FS
	// Logger logs that Open removed the end of the log, which was incomplete after a
	// crash. It may be nil.
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

// Open locks and reads a data directory; an empty or missing one is initialized. What it
// reads is durable, provided that the parent of the directory is. Its error is a
// *LockedError, *OwnerError, *CorruptError, *GapError or *FileError. The clean-up function
// closes the files and unlocks the directory. It must be called after the actors that own
// the store have ended.
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
	if err := cfg.FS.SyncDir(filepath.Dir(cfg.Dir)); err != nil {
		return nil, none, fileError("sync", filepath.Dir(cfg.Dir), err)
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
	if err := fls.readOrCreateOwnerFile(names); err != nil {
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
	if err != nil || !fls.cfg.Rewrite && len(fls.saved.Entries()) == len(rec.entries) {
		return err
	}
	// A crash between storing the snapshot and replacing the log leaves entries that the
	// snapshot includes or that conflict with it.
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

// readOrCreateOwnerFile reads the owner file, or writes one with a new identity if the
// directory has no files besides the lock.
func (fls *Files) readOrCreateOwnerFile(names []string) error {
	path := filepath.Join(fls.cfg.Dir, ownerFileName)
	hasOthers := false
	for _, name := range names {
		switch name {
		case ownerFileName:
			return fls.readOwnerFile(path)
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

// readOwnerFile sets the identity from the owner file. It returns an OwnerError if the
// format version, the VM or the group differs.
func (fls *Files) readOwnerFile(path string) error {
	buf, err := fls.cfg.FS.ReadFile(path)
	if err != nil {
		return fileError("read", path, err)
	}
	payload, rest, ok := readFrame(buf)
	var owner wire.QuorumDisk
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, &owner) != nil {
		return &CorruptError{file: path, reason: "the identity is damaged"}
	}
	mismatch := func(field, found, want string) error {
		return &OwnerError{dir: fls.cfg.Dir, field: field, found: found, want: want}
	}
	switch {
	case owner.GetVersion() != formatVersion:
		return mismatch("version", strconv.Itoa(int(owner.GetVersion())), strconv.Itoa(formatVersion))
	case owner.GetVm() != string(fls.cfg.VM):
		return mismatch("vm", owner.GetVm(), string(fls.cfg.VM))
	case owner.GetGroup() != fls.cfg.Group:
		return mismatch("group", owner.GetGroup(), fls.cfg.Group)
	}
	fls.disk = quorum.DiskID(owner.GetDisk())
	// The last process may have ended before this sync. Other files must not outlast the
	// identity.
	return fileError("sync", fls.cfg.Dir, fls.cfg.FS.SyncDir(fls.cfg.Dir))
}

// Disk implements Store. It returns the identity in the owner file.
func (fls *Files) Disk() quorum.DiskID { return fls.disk }

// Load returns the state and the snapshot data that Open read. It must be called only
// once, because it releases them. Its error is always nil.
func (fls *Files) Load() (quorum.StoredState, []byte, error) {
	sv, data := fls.saved, fls.data
	fls.saved, fls.data = quorum.StoredState{}, nil
	return sv, data, nil
}

// Log returns the store of the log.
func (fls *Files) Log() Log { return fls.log }

// Snapshots returns the store of the snapshots.
func (fls *Files) Snapshots() Snapshots { return fls.snaps }

// writeFile atomically and durably replaces the content of a file with the concatenated
// parts: after a crash it has either the old or the new content.
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
	return renameDurably(fs, fil, path+tempSuffix, path)
}

// renameDurably syncs and closes the temporary file fil, whose path is temp, renames it
// to path and syncs the directory.
func renameDurably(fs FS, fil File, temp, path string) error {
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
