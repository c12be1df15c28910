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
	"guavarail/io/wire"
)

// fullFS is a file system on which writes fail with ENOSPC once full is set.
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

// replica is a running replica with a data directory.
type replica struct {
	vm   model.VMID
	ref  testRef
	stop func()
}

func startOnDisk(tb testing.TB, net *network, dir string, fs disk.FS, vm model.VMID, voters ...model.VMID) *replica {
	tb.Helper()
	return startOnDiskWith(tb, net, dir, fs, textCodec{}, vm, voters...)
}

func startOnDiskWith(tb testing.TB, net *network, dir string, fs disk.FS, cdc wire.Codec[string], vm model.VMID, voters ...model.VMID) *replica {
	tb.Helper()
	fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, string(vm)), VM: vm, Group: "test", FS: fs})
	if err != nil {
		tb.Fatal(err)
	}
	ref, stop := startReplicaOf(tb, net, &list{}, cdc, vm, fls, voters...)
	return &replica{vm: vm, ref: ref, stop: func() {
		stop()
		closeFiles()
	}}
}

func startAll(tb testing.TB, net *network, dir string, vms ...model.VMID) map[model.VMID]*replica {
	tb.Helper()
	reps := map[model.VMID]*replica{}
	for _, vm := range vms {
		reps[vm] = startOnDisk(tb, net, dir, nil, vm, vms...)
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

// proposeCount proposes count commands, each to the current leader, and returns
// the last leader. A command is retried only after a NotLeaderError, which
// guarantees that it will never be applied, so the number of applied commands is
// exact. Any other error fails the test.
func proposeCount(ctx context.Context, tb testing.TB, count int, refs ...testRef) testRef {
	tb.Helper()
	leader := waitForLeader(ctx, tb, refs...)
	for pos := range count {
		var notLeader *NotLeaderError
		_, err := leader.Propose(ctx, strconv.Itoa(pos))
		for errors.As(err, &notLeader) {
			leader = waitForLeader(ctx, tb, refs...)
			_, err = leader.Propose(ctx, strconv.Itoa(pos))
		}
		if err != nil {
			tb.Fatal(err)
		}
	}
	return leader
}

// Guards against commands lost by a restart of the whole group, in the snapshot
// or in the log after it.
func TestRestartOfAllKeepsCommands(t *testing.T) {
	ctx := testContext(t)
	net := &network{}
	dir := t.TempDir()
	reps := startAll(t, net, dir, "a", "b", "c")
	proposeCount(ctx, t, quorum.DefaultSnapshotEntries+200, refsOf(reps)...)
	for _, rep := range reps {
		rep.stop()
	}
	reps = startAll(t, net, dir, "a", "b", "c")
	defer func() {
		for _, rep := range reps {
			rep.stop()
		}
	}()
	got, err := waitForLeader(ctx, t, refsOf(reps)...).Propose(ctx, "last")
	if got != quorum.DefaultSnapshotEntries+201 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards against a VM with an emptied disk that counts as a voter before it is
// replaced, and against a command that is lost when another VM fails right after
// the replacement. The replaced VM must then have all commands, so that it can
// lead.
func TestSecondLossAfterReplace(t *testing.T) {
	ctx := testContext(t)
	net := &network{}
	dir := t.TempDir()
	reps := startAll(t, net, dir, "a", "b", "c")
	leader := proposeCount(ctx, t, quorum.DefaultSnapshotEntries+50, refsOf(reps)...)
	var others []model.VMID
	for vm := range reps {
		if vm != leader.self {
			others = append(others, vm)
		}
	}
	lost, second := others[0], others[1]
	reps[lost].stop()
	if err := os.RemoveAll(filepath.Join(dir, string(lost))); err != nil {
		t.Fatal(err)
	}
	reps[lost] = startOnDisk(t, net, dir, nil, lost, "a", "b", "c")
	if err := leader.ReplaceVoter(ctx, lost); err != nil {
		t.Fatal(err)
	}
	reps[second].stop()
	delete(reps, second)
	got, err := leader.Propose(ctx, "last")
	if got != quorum.DefaultSnapshotEntries+51 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
	if err := leader.TransferLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	next := waitForLeader(ctx, t, refsOf(reps)...)
	if got, err := next.Propose(ctx, "after"); next.self != lost || got != quorum.DefaultSnapshotEntries+52 || err != nil {
		t.Fatalf("%s got %d, %v", next.self, got, err)
	}
	for _, rep := range reps {
		rep.stop()
	}
}

// Guards against a replica that still leads, or accepts a command, although its
// disk is full. The others must elect a leader, and the failed replica must still
// apply the commands of that leader.
func TestFullDiskStepsDown(t *testing.T) {
	ctx := testContext(t)
	net := &network{}
	fss := map[model.VMID]*fullFS{}
	reps := map[model.VMID]*replica{}
	dir := t.TempDir()
	for _, vm := range []model.VMID{"a", "b", "c"} {
		fss[vm] = &fullFS{}
		reps[vm] = startOnDisk(t, net, dir, fss[vm], vm, "a", "b", "c")
		defer reps[vm].stop()
	}
	leader := proposeCount(ctx, t, 10, refsOf(reps)...)
	fss[leader.self].full.Store(true)
	// The other replicas may commit the command before the disk reports its
	// failure.
	_, _ = leader.Propose(ctx, "maybe")
	waitFor(ctx, t, leader, func(role quorum.Role, _ *list) bool { return role.Failed() })
	next := waitForLeader(ctx, t, refsOf(reps)...)
	if next.self == leader.self {
		t.Fatalf("%s leads with a full disk", leader.self)
	}
	proposeCount(ctx, t, 10, next)
	var notLeader *NotLeaderError
	if _, err := leader.Propose(ctx, "late"); !errors.As(err, &notLeader) {
		t.Fatalf("proposal to the replica with a full disk: error %v, want a NotLeaderError", err)
	}
	waitFor(ctx, t, leader, func(_ quorum.Role, mac *list) bool { return len(mac.cmds) >= 20 })
}

// waitFor polls a replica until cond holds.
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
			tb.Fatal("the condition does not hold before the deadline")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
