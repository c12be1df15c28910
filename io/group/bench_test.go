package group

import (
	"context"
	"path/filepath"
	"strconv"
	"sync"
	"testing"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
)

// syncEveryEntry is a log without group commit: it syncs after each entry instead
// of once for all entries of a batch.
type syncEveryEntry struct{ disk.Log }

func (lg syncEveryEntry) Append(hard quorum.HardState, ents []quorum.Entry) error {
	for pos := range max(1, len(ents)) {
		if err := lg.Log.Append(hard, ents[min(pos, len(ents)):min(pos+1, len(ents))]); err != nil {
			return err
		}
		if err := lg.Sync(); err != nil {
			return err
		}
	}
	return nil
}

type syncEveryEntryStore struct{ *disk.Files }

func (sto syncEveryEntryStore) Log() disk.Log { return syncEveryEntry{Log: sto.Files.Log()} }

// noopMachine is a state machine that ignores commands and so has empty snapshots: the
// benchmark measures the log alone.
type noopMachine struct{ list }

func (nom *noopMachine) Apply(string) int { return 0 }

type noopRef = Ref[*noopMachine, string, int, []string]

// concurrentCallers is the number of goroutines that propose commands at the same
// time.
const concurrentCallers = 512

// BenchmarkDurableCommands measures the commands per second that a group of three
// voters commits with synced files. The ratio of the two modes is the gain of
// group commit.
func BenchmarkDurableCommands(b *testing.B) {
	for _, mode := range []string{"groupCommit", "syncPerCommand"} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			net := &network{}
			dir := b.TempDir()
			var refs []noopRef
			for _, vm := range []model.VMID{"a", "b", "c"} {
				fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, string(vm)), VM: vm, Group: "test"})
				if err != nil {
					b.Fatal(err)
				}
				var sto disk.Store = fls
				if mode == "syncPerCommand" {
					sto = syncEveryEntryStore{Files: fls}
				}
				ref, stop := startReplicaOf(b, net, &noopMachine{}, textCodec{}, vm, sto, "a", "b", "c")
				defer closeFiles()
				defer stop()
				refs = append(refs, ref)
			}
			leader := waitForLeader(ctx, b, refs...)
			b.ResetTimer()
			proposeAll(ctx, b, leader, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.StopTimer()
		})
	}
}

// proposeAll proposes count commands from concurrentCallers callers.
func proposeAll[M quorum.Replica[string, int, []string]](ctx context.Context, tb testing.TB, ref Ref[M, string, int, []string], count int) {
	var wg sync.WaitGroup
	for caller := range concurrentCallers {
		wg.Go(func() {
			for pos := caller; pos < count; pos += concurrentCallers {
				if _, err := ref.Propose(ctx, strconv.Itoa(pos)); err != nil {
					tb.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// snapshotCommands and logCommands are the numbers of commands in the snapshot and
// in the log after it. They are the load for which the system's description
// specifies a restart: 520,000 tasks and 1,000 changes to them.
const (
	snapshotCommands = 520_000
	logCommands      = 1_000
)

// BenchmarkRestart measures the time from opening the data directory to the
// first read under the leader lease. The state comes either from a snapshot and
// 1,000 commands or from the replay of all commands.
func BenchmarkRestart(b *testing.B) {
	for mode, snapshotEntries := range map[string]uint64{"snapshot": snapshotCommands, "replay": 1 << 40} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			dir := b.TempDir()
			ref, stop := startWithSnapshotEntries(b, dir, snapshotEntries)
			waitForLeader(ctx, b, ref)
			proposeAll(ctx, b, ref, snapshotCommands+logCommands)
			stop()
			b.ResetTimer()
			for range b.N {
				ref, stop := startWithSnapshotEntries(b, dir, 1<<40)
				got, err := Read(ctx, waitForLeader(ctx, b, ref), func(_ model.Instant, _ quorum.Role, mac *list) int { return len(mac.cmds) })
				if got != snapshotCommands+logCommands || err != nil {
					b.Fatalf("got %d, %v", got, err)
				}
				b.StopTimer()
				stop()
				b.StartTimer()
			}
		})
	}
}

// startWithSnapshotEntries starts a group with one member that takes a snapshot
// after snapshotEntries log entries; 1 << 40 is never reached.
func startWithSnapshotEntries(b *testing.B, dir string, snapshotEntries uint64) (testRef, func()) {
	b.Helper()
	fls, closeFiles, err := disk.Open(disk.Config{Dir: dir, VM: "a", Group: "test"})
	if err != nil {
		b.Fatal(err)
	}
	ref, stop, err := New(Config[*list, string, int, []string]{
		Group: "test", Self: "a", Voters: []model.VMID{"a"}, Replica: &list{}, Commands: textCodec{}, Snapshots: listCodec{},
		Store: fls, SnapshotEntries: snapshotEntries, SnapshotBytes: 1 << 40,
	})
	if err != nil {
		b.Fatal(err)
	}
	return ref, func() {
		stop()
		closeFiles()
	}
}
