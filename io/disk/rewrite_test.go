package disk

import (
	"syscall"
	"testing"

	"guavarail/core/quorum"
)

// droppingFS is a powerFS of which one sync of an appended file fails. What that sync
// should have written can still be read, but no later sync of the file writes it.
type droppingFS struct {
	*powerFS
	// fail makes the next sync fail; dropped is the file whose sync has failed.
	fail    bool
	dropped *powerFile
}

func (df *droppingFS) Append(name string) (File, error) {
	fil, err := df.powerFS.Append(name)
	if err != nil {
		return nil, err
	}
	return &droppingFile{openFile: fil.(*openFile), df: df}, nil
}

type droppingFile struct {
	*openFile
	df *droppingFS
}

func (fil *droppingFile) Sync() error {
	switch {
	case fil.df.fail:
		fil.df.fail, fil.df.dropped = false, fil.powerFile
		return syscall.EIO
	case fil.df.dropped == fil.powerFile:
		return nil
	}
	return fil.openFile.Sync()
}

// Guards against a replica that starts again after a failed sync, acknowledges what it
// can read and loses it with the power.
func TestStateReadAfterAFailedSyncIsDurable(t *testing.T) {
	for seed := range uint64(20) {
		df := &droppingFS{powerFS: newPowerFS(seed)}
		df.opsLeft, df.dirs["/data"] = 1<<30, true
		open := func(rewrite bool) (*Files, func()) {
			fls, closeFiles, err := Open(Config{Dir: "/data/group", VM: "a", Group: "g", FS: df, Rewrite: rewrite})
			if err != nil {
				t.Fatal(err)
			}
			return fls, closeFiles
		}
		appendEntries := func(fls *Files, from, to uint64) error {
			if err := fls.Log().Append(quorum.NewHardState(from, "a"), entries(from, to, 1)); err != nil {
				return err
			}
			return fls.Log().Sync()
		}
		fls, closeFiles := open(false)
		if err := appendEntries(fls, 1, 2); err != nil {
			t.Fatal(err)
		}
		df.fail = true
		if err := appendEntries(fls, 3, 4); err == nil {
			t.Fatal("the sync did not fail")
		}
		closeFiles()
		fls, closeFiles = open(true)
		read, _, _ := fls.Load()
		closeFiles()
		df.losePower()
		fls, closeFiles = open(false)
		kept, _, _ := fls.Load()
		closeFiles()
		if len(kept.Entries()) < len(read.Entries()) || kept.HardState().Term() < read.HardState().Term() {
			t.Errorf("seed %d: %d entries of term %d after the loss of power, %d of term %d were read before", seed,
				len(kept.Entries()), kept.HardState().Term(), len(read.Entries()), read.HardState().Term())
		}
	}
}
