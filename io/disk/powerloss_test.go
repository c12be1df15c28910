package disk

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"

	"guavarail/core/quorum"
)

// powerFile is the content of a file of a powerFS.
type powerFile struct {
	data []byte
	// synced is the content as of the last sync, and changed is set if data was
	// changed since.
	synced  []byte
	changed bool
}

// dirChange is a name that was added, replaced or removed and is not durable.
type dirChange struct {
	// name refers to file afterwards, or to nothing if file is nil. removed is the
	// old name of a renamed file.
	name, removed string
	file          *powerFile
}

// powerFS is a file system in memory. A loss of power loses each change that is not
// synced with a chance of one half. A file becomes durable with its own sync, other
// changes of names with a sync of their directory.
type powerFS struct {
	rnd   *rand.Rand
	files map[string]*powerFile
	// durable holds the names and dirs the directories that survive a loss of power.
	durable map[string]*powerFile
	changes []dirChange
	// dirs maps each directory to whether it is durable.
	dirs map[string]bool
	// opsLeft is the number of operations until the process is killed.
	opsLeft int
}

func newPowerFS(seed uint64) *powerFS {
	return &powerFS{
		rnd: rand.New(rand.NewPCG(seed, 3)), files: map[string]*powerFile{}, durable: map[string]*powerFile{},
		dirs: map[string]bool{},
	}
}

// nextOp counts an operation and fails once the process is killed.
func (pf *powerFS) nextOp() error {
	if pf.opsLeft--; pf.opsLeft < 0 {
		return syscall.EIO
	}
	return nil
}

// losePower drops each change that is not synced, or keeps it.
func (pf *powerFS) losePower() {
	maps.DeleteFunc(pf.dirs, func(_ string, durable bool) bool { return !durable && pf.rnd.IntN(2) == 0 })
	for _, chg := range pf.changes {
		if pf.rnd.IntN(2) == 0 {
			pf.applyDurably(chg)
		}
	}
	maps.DeleteFunc(pf.durable, func(name string, _ *powerFile) bool { _, ok := pf.dirs[filepath.Dir(name)]; return !ok })
	for _, fil := range pf.durable {
		fil.losePower(pf.rnd)
	}
	pf.changes, pf.files = nil, maps.Clone(pf.durable)
}

// losePower keeps, loses or tears what was written since the last sync.
func (fil *powerFile) losePower(rnd *rand.Rand) {
	if keep := rnd.IntN(3); fil.changed && keep < 2 {
		torn := slices.Clone(fil.synced)
		if tail := len(fil.data) - len(fil.synced); keep == 1 && tail > 0 {
			torn = append(torn, fil.data[len(fil.synced):len(fil.synced)+rnd.IntN(tail)]...)
		}
		fil.data = torn
	}
	fil.synced, fil.changed = slices.Clone(fil.data), false
}

func (pf *powerFS) applyDurably(chg dirChange) {
	delete(pf.durable, chg.removed)
	if delete(pf.durable, chg.name); chg.file != nil {
		pf.durable[chg.name] = chg.file
	}
}

// change makes a change of names that a sync of the directory makes durable.
func (pf *powerFS) change(chg dirChange) {
	delete(pf.files, chg.removed)
	if delete(pf.files, chg.name); chg.file != nil {
		pf.files[chg.name] = chg.file
	}
	pf.changes = append(pf.changes, chg)
}

func (pf *powerFS) MkdirAll(dir string) error {
	for ; dir != "/"; dir = filepath.Dir(dir) {
		pf.dirs[dir] = pf.dirs[dir]
	}
	return pf.nextOp()
}

func (pf *powerFS) List(dir string) ([]string, error) {
	var names []string
	for name := range pf.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, pf.nextOp()
}

func (pf *powerFS) ReadFile(name string) ([]byte, error) {
	if fil := pf.files[name]; fil != nil {
		return slices.Clone(fil.data), pf.nextOp()
	}
	return nil, os.ErrNotExist
}

func (pf *powerFS) Open(name string) (File, error) { return pf.open(name, false) }

func (pf *powerFS) Append(name string) (File, error) { return pf.open(name, false) }

func (pf *powerFS) Create(name string) (File, error) { return pf.open(name, true) }

func (pf *powerFS) open(name string, empty bool) (File, error) {
	if err := pf.nextOp(); err != nil {
		return nil, err
	}
	fil := pf.files[name]
	if fil == nil {
		fil = &powerFile{}
		pf.change(dirChange{name: name, file: fil})
	}
	if empty {
		fil.data, fil.changed = nil, true
	}
	return &openFile{powerFile: fil, pf: pf}, nil
}

func (pf *powerFS) Rename(from, to string) error {
	if err := pf.nextOp(); err != nil {
		return err
	}
	pf.change(dirChange{name: to, removed: from, file: pf.files[from]})
	return nil
}

func (pf *powerFS) Remove(name string) error {
	if err := pf.nextOp(); err != nil {
		return err
	}
	pf.change(dirChange{name: name})
	return nil
}

func (pf *powerFS) SyncDir(dir string) error {
	if err := pf.nextOp(); err != nil {
		return err
	}
	for sub := range pf.dirs {
		pf.dirs[sub] = pf.dirs[sub] || filepath.Dir(sub) == dir
	}
	pf.syncChanges(func(chg dirChange) bool { return filepath.Dir(chg.name) == dir })
	return nil
}

// syncChanges makes the changes durable for which match returns true.
func (pf *powerFS) syncChanges(match func(chg dirChange) bool) {
	pf.changes = slices.DeleteFunc(pf.changes, func(chg dirChange) bool {
		if match(chg) {
			pf.applyDurably(chg)
			return true
		}
		return false
	})
}

func (pf *powerFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// openFile is an open file of a powerFS.
type openFile struct {
	*powerFile
	pf *powerFS
}

func (fil *openFile) Write(buf []byte) (int, error) {
	if err := fil.pf.nextOp(); err != nil {
		return 0, err
	}
	fil.data, fil.changed = append(slices.Clone(fil.data), buf...), true
	return len(buf), nil
}

func (fil *openFile) Sync() error {
	if err := fil.pf.nextOp(); err != nil {
		return err
	}
	fil.synced, fil.changed = slices.Clone(fil.data), false
	fil.pf.syncChanges(func(chg dirChange) bool { return chg.file == fil.powerFile && chg.removed == "" })
	return nil
}

func (fil *openFile) Truncate(size int64) error {
	if err := fil.pf.nextOp(); err != nil {
		return err
	}
	fil.data, fil.changed = slices.Clone(fil.data[:size]), true
	return nil
}

func (fil *openFile) ReadAt(buf []byte, off int64) (int, error) {
	return bytes.NewReader(fil.data).ReadAt(buf, off)
}

func (fil *openFile) Close() error { return nil }

// acked is what a replica may have told the others about its disk.
type acked struct {
	disk quorum.DiskID
	last uint64
	hard quorum.HardState
}

// write appends entries, saves snapshots and receives them until the process is
// killed. It updates ack after each operation that returned without an error.
func (pf *powerFS) write(fls *Files, ack *acked) {
	mems := quorum.NewMembers(false, quorum.NewMember("a", "d", true))
	for {
		next := ack.last + 1 + uint64(pf.rnd.IntN(3))
		hard := quorum.NewHardState(ack.hard.Term()+1, "a")
		var err error
		switch snap := quorum.NewSnapshot(ack.last, 1, mems, 1).WithSize(4); pf.rnd.IntN(4) {
		case 0:
			if err = fls.Snapshots().Save(snap, []byte("abcd")); err == nil {
				err = fls.Log().Replace(hard, nil)
			}
			next = ack.last
		case 1:
			snap = quorum.NewSnapshot(next, 1, mems, 1).WithSize(4)
			if _, err = fls.Snapshots().Receive(snap, 0, []byte("ab"), false); err == nil {
				_, err = fls.Snapshots().Receive(snap, 2, []byte("cd"), true)
			}
			if err == nil {
				err = fls.Log().Replace(hard, nil)
			}
		default:
			if err = fls.Log().Append(hard, entries(ack.last+1, next, 1)); err == nil {
				err = fls.Log().Sync()
			}
		}
		if err != nil {
			return
		}
		ack.last, ack.hard = next, hard
	}
}

// Guards against a voter that acknowledges an entry or a vote and loses it with the
// power: what a restarted process reads counts as acknowledged, and a process may be
// killed at any operation, with or without a loss of power.
func TestPowerLossKeepsWhatWasAcknowledged(t *testing.T) {
	runs := uint64(400)
	if num, err := strconv.ParseUint(os.Getenv("GUAVARAIL_LOSS_RUNS"), 10, 32); err == nil {
		runs = num
	}
	for seed := range runs {
		pf := newPowerFS(seed)
		pf.dirs["/data"] = true
		var ack acked
		for range 12 {
			if err := pf.restart(&ack); err != nil {
				t.Errorf("seed %d: %v", seed, err)
				break
			}
		}
	}
}

// restart opens the directory, checks that it holds what was acknowledged, writes until
// the process is killed and lets the power fail in half of the cases.
func (pf *powerFS) restart(ack *acked) error {
	pf.opsLeft = pf.rnd.IntN(40)
	fls, closeFiles, err := Open(Config{Dir: "/data/group", VM: "a", Group: "g", FS: pf})
	if err != nil && pf.opsLeft >= 0 {
		return err
	}
	if err == nil {
		sv, _, _ := fls.Load()
		got := acked{disk: fls.Disk(), last: sv.Snapshot().Index() + uint64(len(sv.Entries())), hard: sv.HardState()}
		if ack.disk != "" && (got.disk != ack.disk || got.last < ack.last || got.hard.Term() < ack.hard.Term()) {
			return fmt.Errorf("%+v after a restart, %+v is acknowledged", got, *ack)
		}
		*ack = got
		pf.write(fls, ack)
		closeFiles()
	}
	if pf.rnd.IntN(2) == 0 {
		pf.losePower()
	}
	return nil
}
