package group

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
)

// fullFS reports a full disk once it is told to.
type fullFS struct {
	disk.OS
	full atomic.Bool
}

func (fs *fullFS) Append(name string) (disk.File, error) {
	fil, err := fs.OS.Append(name)
	return &fullFile{File: fil, fs: fs}, err
}

type fullFile struct {
	disk.File
	fs *fullFS
}

func (fil *fullFile) Write(buf []byte) (int, error) {
	if fil.fs.full.Load() {
		return 0, syscall.ENOSPC
	}
	return fil.File.Write(buf)
}

// replica is one VM of a test with a data directory.
type replica struct {
	vm   model.VMID
	ref  testRef
	stop func()
}

func startOnDisk(tb testing.TB, lin *links, dir string, fs disk.FS, vm model.VMID, voters ...model.VMID) *replica {
	tb.Helper()
	fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, string(vm)), VM: vm, Group: "test", FS: fs})
	if err != nil {
		tb.Fatal(err)
	}
	ref, stop := startReplica(tb, lin, vm, fls, voters...)
	return &replica{vm: vm, ref: ref, stop: func() {
		stop()
		closeFiles()
	}}
}

func startAll(tb testing.TB, lin *links, dir string, vms ...model.VMID) map[model.VMID]*replica {
	tb.Helper()
	reps := map[model.VMID]*replica{}
	for _, vm := range vms {
		reps[vm] = startOnDisk(tb, lin, dir, nil, vm, vms...)
	}
	return reps
}

func refsOf(reps map[model.VMID]*replica) []testRef {
	var lst []testRef
	for _, rep := range reps {
		lst = append(lst, rep.ref)
	}
	return lst
}

// proposeCount proposes commands at the leader, also when that changes, and
// returns the last leader. A command that a replica refuses because it does not
// lead was not carried out, so that the number of commands is exact; any other
// error fails the test.
func proposeCount(ctx context.Context, tb testing.TB, count int, refs ...testRef) testRef {
	tb.Helper()
	led := leaderOf(ctx, tb, refs...)
	for pos := range count {
		var notLeader *NotLeaderError
		_, err := led.Propose(ctx, strconv.Itoa(pos))
		for errors.As(err, &notLeader) {
			led = leaderOf(ctx, tb, refs...)
			_, err = led.Propose(ctx, strconv.Itoa(pos))
		}
		if err != nil {
			tb.Fatal(err)
		}
	}
	return led
}

// Guards restarts of the whole group: every command is there, from the snapshot
// and from the log after it.
func TestRestartOfAllKeepsCommands(t *testing.T) {
	ctx := testContext(t)
	lin := &links{}
	dir := t.TempDir()
	reps := startAll(t, lin, dir, "a", "b", "c")
	proposeCount(ctx, t, quorum.DefaultSnapshotEntries+200, refsOf(reps)...)
	for _, rep := range reps {
		rep.stop()
	}
	reps = startAll(t, lin, dir, "a", "b", "c")
	defer func() {
		for _, rep := range reps {
			rep.stop()
		}
	}()
	got, err := leaderOf(ctx, t, refsOf(reps)...).Propose(ctx, "last")
	if got != quorum.DefaultSnapshotEntries+201 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards a repair: a VM with an emptied disk does not count until it is
// replaced, and after that a second loss right away loses no command.
func TestSecondLossAfterReplace(t *testing.T) {
	ctx := testContext(t)
	lin := &links{}
	dir := t.TempDir()
	reps := startAll(t, lin, dir, "a", "b", "c")
	led := proposeCount(ctx, t, quorum.DefaultSnapshotEntries+50, refsOf(reps)...)
	var others []model.VMID
	for vm := range reps {
		if vm != led.self {
			others = append(others, vm)
		}
	}
	lost, second := others[0], others[1]
	reps[lost].stop()
	if err := os.RemoveAll(filepath.Join(dir, string(lost))); err != nil {
		t.Fatal(err)
	}
	reps[lost] = startOnDisk(t, lin, dir, nil, lost, "a", "b", "c")
	if err := led.ReplaceVoter(ctx, lost); err != nil {
		t.Fatal(err)
	}
	reps[second].stop()
	delete(reps, second)
	got, err := led.Propose(ctx, "last")
	if got != quorum.DefaultSnapshotEntries+51 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
	if err := led.TransferLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	next := leaderOf(ctx, t, refsOf(reps)...)
	if got, err := next.Propose(ctx, "after"); next.self != lost || got != quorum.DefaultSnapshotEntries+52 || err != nil {
		t.Fatalf("%s got %d, %v", next.self, got, err)
	}
	for _, rep := range reps {
		rep.stop()
	}
}

// Guards a full disk: the replica stops leading, answers no command, and the
// others go on; its state still follows.
func TestFullDiskHandsOver(t *testing.T) {
	ctx := testContext(t)
	lin := &links{}
	fss := map[model.VMID]*fullFS{}
	reps := map[model.VMID]*replica{}
	dir := t.TempDir()
	for _, vm := range []model.VMID{"a", "b", "c"} {
		fss[vm] = &fullFS{}
		reps[vm] = startOnDisk(t, lin, dir, fss[vm], vm, "a", "b", "c")
		defer reps[vm].stop()
	}
	led := proposeCount(ctx, t, 10, refsOf(reps)...)
	fss[led.self].full.Store(true)
	// The others may commit the command before the disk reports its failure.
	_, _ = led.Propose(ctx, "maybe")
	waitFor(ctx, t, led, func(role quorum.Role, _ *list) bool { return role.Failed() })
	next := leaderOf(ctx, t, refsOf(reps)...)
	if next.self == led.self {
		t.Fatalf("%s leads with a full disk", led.self)
	}
	proposeCount(ctx, t, 10, next)
	var notLeader *NotLeaderError
	if _, err := led.Propose(ctx, "late"); !errors.As(err, &notLeader) {
		t.Fatalf("got %v", err)
	}
	waitFor(ctx, t, led, func(_ quorum.Role, mac *list) bool { return len(mac.cmds) >= 20 })
}

// waitFor waits until a condition holds on a replica.
func waitFor(ctx context.Context, tb testing.TB, ref testRef, cond func(role quorum.Role, mac *list) bool) {
	tb.Helper()
	got := make(chan bool, 1)
	for {
		ref.Do(func(_ model.Instant, role quorum.Role, mac *list) { got <- cond(role, mac) })
		if <-got {
			return
		}
		select {
		case <-ctx.Done():
			tb.Fatal("the condition does not hold")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
