package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"guavarail/core/quorum"
)

// faultFS counts writes, syncs and renames from 1 and fails all of them from number failAt
// on, like a disk that is full or was detached. failAt 0 means no failure.
type faultFS struct {
	OS
	ops    int
	failAt int
}

// nextOp counts an operation and returns its error.
func (fs *faultFS) nextOp() error {
	fs.ops++
	if fs.failAt > 0 && fs.ops >= fs.failAt {
		return syscall.ENOSPC
	}
	return nil
}

func (fs *faultFS) Create(name string) (File, error) { return fs.wrap(fs.OS.Create(name)) }
func (fs *faultFS) Append(name string) (File, error) { return fs.wrap(fs.OS.Append(name)) }

func (fs *faultFS) wrap(fil File, err error) (File, error) {
	return &faultFile{File: fil, fs: fs}, err
}

func (fs *faultFS) Rename(from, to string) error {
	if err := fs.nextOp(); err != nil {
		return err
	}
	return fs.OS.Rename(from, to)
}

func (fs *faultFS) SyncDir(dir string) error {
	if err := fs.nextOp(); err != nil {
		return err
	}
	return fs.OS.SyncDir(dir)
}

type faultFile struct {
	File
	fs *faultFS
}

// Write writes half of the data if it fails.
func (fil *faultFile) Write(buf []byte) (int, error) {
	if err := fil.fs.nextOp(); err != nil {
		n, _ := fil.File.Write(buf[:len(buf)/2])
		return n, err
	}
	return fil.File.Write(buf)
}

func (fil *faultFile) Sync() error {
	if err := fil.fs.nextOp(); err != nil {
		return err
	}
	return fil.File.Sync()
}

// openDir opens the data directory of VM a in group g.
func openDir(tb testing.TB, dir string, fs FS) (*Files, func()) {
	tb.Helper()
	fls, closeFiles, err := Open(Config{Dir: dir, VM: "a", Group: "g", FS: fs})
	if err != nil {
		tb.Fatal(err)
	}
	return fls, closeFiles
}

// entries returns command entries of the given term; from is the first index and to the
// last.
func entries(from, to, term uint64) []quorum.Entry {
	var lst []quorum.Entry
	for idx := from; idx <= to; idx++ {
		lst = append(lst, quorum.NewEntry(idx, term, quorum.EntryCommand, []byte{byte(idx)}))
	}
	return lst
}

// writeThreeFrames writes three frames with two entries each and returns the offsets
// of their ends.
func writeThreeFrames(tb testing.TB, dir string) []int64 {
	tb.Helper()
	fls, closeFiles := openDir(tb, dir, OS{})
	defer closeFiles()
	var ends []int64
	for idx := uint64(1); idx <= 5; idx += 2 {
		if err := errors.Join(fls.Log().Append(quorum.NewHardState(1, "a"), entries(idx, idx+1, 1)), fls.Log().Sync()); err != nil {
			tb.Fatal(err)
		}
		inf, err := os.Stat(filepath.Join(dir, logName))
		if err != nil {
			tb.Fatal(err)
		}
		ends = append(ends, inf.Size())
	}
	return ends
}

// Guards against a restart that loses synced records or changes the identity.
func TestRestartKeepsWhatWasSynced(t *testing.T) {
	dir := t.TempDir()
	writeThreeFrames(t, dir)
	fls, closeFiles := openDir(t, dir, OS{})
	disk := fls.Disk()
	// A new leader replaces the end of the log.
	if err := errors.Join(fls.Log().Append(quorum.NewHardState(2, "b"), entries(5, 5, 2)), fls.Log().Sync()); err != nil {
		t.Fatal(err)
	}
	closeFiles()
	fls, closeFiles = openDir(t, dir, OS{})
	defer closeFiles()
	sv, _, _ := fls.Load()
	if ents := sv.Entries(); len(ents) != 5 || ents[4].Term() != 2 || sv.HardState().Vote() != "b" || fls.Disk() != disk {
		t.Fatalf("got %+v, disk %s, want disk %s", sv, fls.Disk(), disk)
	}
}

// Guards against a torn write that stops the start or loses synced records: a last
// frame that ends at any byte must be dropped, and the frames before it kept.
func TestTornTailIsCutOff(t *testing.T) {
	dir := t.TempDir()
	ends := writeThreeFrames(t, dir)
	path := filepath.Join(dir, logName)
	intact, _ := os.ReadFile(path)
	for size := ends[1]; size < ends[2]; size++ {
		// The rest of the frame may be missing, or be zero because it was not written.
		for _, buf := range [][]byte{intact[:size], append(intact[:size:size], make([]byte, ends[2]-size)...)} {
			_ = os.WriteFile(path, buf, fileMode)
			fls, closeFiles := openDir(t, dir, OS{})
			sv, _, _ := fls.Load()
			closeFiles()
			if len(sv.Entries()) != 4 {
				t.Fatalf("cut at %d of %d: %d entries, want 4", size, ends[2], len(sv.Entries()))
			}
		}
	}
}

// Guards against silent data loss: damage before the last frame must be an error that
// names the file and the offset.
func TestDamageIsReported(t *testing.T) {
	dir := t.TempDir()
	ends := writeThreeFrames(t, dir)
	path := filepath.Join(dir, logName)
	intact, _ := os.ReadFile(path)
	for pos := range ends[1] {
		buf := append([]byte(nil), intact...)
		buf[pos] ^= 0x10
		_ = os.WriteFile(path, buf, fileMode)
		want := int64(0)
		if pos >= ends[0] {
			want = ends[0]
		}
		_, _, err := Open(Config{Dir: dir, VM: "a", Group: "g"})
		var bad *CorruptError
		if !errors.As(err, &bad) || bad.File() != path || bad.Offset() != want {
			t.Fatalf("byte %d: got %v, want damage at %d", pos, err, want)
		}
	}
}

// Guards against a replica that starts with the wrong data directory: one of another
// VM or group, one in use and one without its owner file must be rejected.
func TestForeignDirectoryIsRefused(t *testing.T) {
	dir := t.TempDir()
	writeThreeFrames(t, dir)
	for field, cfg := range map[string]Config{
		"vm": {Dir: dir, VM: "b", Group: "g"}, "group": {Dir: dir, VM: "a", Group: "h"},
	} {
		_, _, err := Open(cfg)
		var bad *OwnerError
		if !errors.As(err, &bad) || bad.Field() != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
	_, closeFiles := openDir(t, dir, OS{})
	_, _, err := Open(Config{Dir: dir, VM: "a", Group: "g"})
	var locked *LockedError
	if !errors.As(err, &locked) {
		t.Errorf("in use: got %v", err)
	}
	closeFiles()
	_ = os.Remove(filepath.Join(dir, ownerFileName))
	_, _, err = Open(Config{Dir: dir, VM: "a", Group: "g"})
	var bad *CorruptError
	if !errors.As(err, &bad) {
		t.Errorf("no owner file: got %v", err)
	}
}

// runOperations writes and compacts a log, saves snapshots and receives one in chunks. It
// stops at the first failure and returns the index of the last entry that was synced or
// is in a completely received snapshot; without a failure this is 9.
func runOperations(fls *Files) uint64 {
	synced := uint64(0)
	log, snaps := fls.Log(), fls.Snapshots()
	mems := quorum.NewMembers(false, quorum.NewMember("a", "d", true))
	for idx := uint64(1); idx <= 6; idx++ {
		if log.Append(quorum.NewHardState(1, "a"), entries(idx, idx, 1)) != nil || log.Sync() != nil {
			return synced
		}
		synced = idx
		if idx%2 > 0 {
			continue
		}
		snap := quorum.NewSnapshot(idx, 1, mems, 1).WithSize(3)
		if snaps.Save(snap, []byte("abc")) != nil || log.Replace(quorum.NewHardState(1, "a"), nil) != nil {
			return synced
		}
	}
	partial := quorum.NewSnapshot(9, 1, mems, 1).WithSize(4)
	if _, err := snaps.Receive(partial, 0, []byte("ab"), false); err != nil {
		return synced
	}
	if data, err := snaps.Receive(partial, 2, []byte("cd"), true); err != nil || string(data) != "abcd" {
		return synced
	}
	return 9
}

// Guards against the loss of synced entries when the disk fails or fills up: the test
// lets the disk fail from each operation on, restarts and compares.
func TestDiskFailureAtEveryStep(t *testing.T) {
	count := &faultFS{}
	fls, closeFiles := openDir(t, t.TempDir(), count)
	if got := runOperations(fls); got != 9 {
		t.Fatalf("without failures %d is synced, want 9", got)
	}
	closeFiles()
	for failAt := 1; failAt <= count.ops; failAt++ {
		dir := t.TempDir()
		synced := uint64(0)
		if fls, closeFiles, err := Open(Config{Dir: dir, VM: "a", Group: "g", FS: &faultFS{failAt: failAt}}); err == nil {
			synced = runOperations(fls)
			closeFiles()
		}
		fls, closeFiles := openDir(t, dir, OS{})
		sv, _, _ := fls.Load()
		closeFiles()
		if got := sv.Snapshot().Index() + uint64(len(sv.Entries())); got < synced {
			t.Fatalf("failure at operation %d: %d entries after restart, %d were synced", failAt, got, synced)
		}
	}
}

// Guards against snapshot chunks that differ from the stored bytes, or are read from
// another snapshot than the requested one.
func TestSnapshotChunks(t *testing.T) {
	for name, sto := range map[string]Store{"files": asStore(openDir(t, t.TempDir(), OS{})), "memory": NewMemory()} {
		snap := quorum.NewSnapshot(7, 1, quorum.Members{}, 1).WithSize(6)
		if err := sto.Snapshots().Save(snap, []byte("abcdef")); err != nil {
			t.Fatal(err)
		}
		if got, err := sto.Snapshots().Read(snap, 2, 3); string(got) != "cde" || err != nil {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
		old := quorum.NewSnapshot(6, 1, quorum.Members{}, 1).WithSize(6)
		if got, err := sto.Snapshots().Read(old, 2, 3); got != nil || err != nil {
			t.Errorf("%s: got %q, %v of a snapshot that is not stored", name, got, err)
		}
	}
}

// asStore returns the first result of openDir. The files stay open until the process ends.
func asStore(fls *Files, _ func()) Store { return fls }
