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

// syncEveryEntry is a log that syncs after each entry instead of each batch.
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

// counter is a state machine with empty snapshots, so that the benchmark
// measures the log.
type counter struct{ list }

func (cnt *counter) Apply(string) int { return 0 }

type counterRef = Ref[*counter, string, int, []string]

// concurrentCallers is the number of callers that propose concurrently.
const concurrentCallers = 512

// BenchmarkDurableCommands measures the commands that three voters have synced
// to files. The ratio of the commands/s of the two modes is the gain of group
// commit.
func BenchmarkDurableCommands(b *testing.B) {
	for _, mode := range []string{"groupCommit", "syncPerCommand"} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			net := &network{}
			dir := b.TempDir()
			var refs []counterRef
			for _, vm := range []model.VMID{"a", "b", "c"} {
				fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, string(vm)), VM: vm, Group: "test"})
				if err != nil {
					b.Fatal(err)
				}
				var sto disk.Store = fls
				if mode == "syncPerCommand" {
					sto = syncEveryEntryStore{Files: fls}
				}
				ref, stop := startReplicaOf(b, net, &counter{}, vm, sto, "a", "b", "c")
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

// restartTasks and restartChanges are the sizes of the snapshot and of the log
// after it, from the table in section 1.8 of the system's description.
const (
	restartTasks   = 520_000
	restartChanges = 1_000
)

// BenchmarkRestart measures the time from opening the data directory to the
// first read. The state comes either from a snapshot and 1,000 commands or from
// the replay of all commands.
func BenchmarkRestart(b *testing.B) {
	for mode, snapshotEvery := range map[string]uint64{"snapshot": restartTasks, "replay": 1 << 40} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			dir := b.TempDir()
			ref, stop := startWithSnapshotEvery(b, dir, snapshotEvery)
			waitForLeader(ctx, b, ref)
			proposeAll(ctx, b, ref, restartTasks+restartChanges)
			stop()
			b.ResetTimer()
			for range b.N {
				ref, stop := startWithSnapshotEvery(b, dir, 1<<40)
				got, err := Read(ctx, waitForLeader(ctx, b, ref), func(_ model.Instant, _ quorum.Role, mac *list) int { return len(mac.cmds) })
				if got != restartTasks+restartChanges || err != nil {
					b.Fatalf("got %d, %v", got, err)
				}
				b.StopTimer()
				stop()
				b.StartTimer()
			}
		})
	}
}

// startWithSnapshotEvery starts a group with one member that takes a snapshot
// after snapshotEvery entries.
func startWithSnapshotEvery(b *testing.B, dir string, snapshotEvery uint64) (testRef, func()) {
	b.Helper()
	fls, closeFiles, err := disk.Open(disk.Config{Dir: dir, VM: "a", Group: "test"})
	if err != nil {
		b.Fatal(err)
	}
	ref, stop, err := New(Config[*list, string, int, []string]{
		Group: "test", Self: "a", Voters: []model.VMID{"a"}, Replica: &list{}, Commands: textCodec{}, Snapshots: listCodec{},
		Store: fls, SnapshotEntries: snapshotEvery, SnapshotBytes: 1 << 40,
	})
	if err != nil {
		b.Fatal(err)
	}
	return ref, func() {
		stop()
		closeFiles()
	}
}
