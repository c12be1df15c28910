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

// syncEach is a log that syncs after every entry.
type syncEach struct{ disk.Log }

func (lg syncEach) Append(hard quorum.HardState, ents []quorum.Entry) error {
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

type syncEachStore struct{ *disk.Files }

func (sto syncEachStore) Log() disk.Log { return syncEach{Log: sto.Files.Log()} }

// counter is a state machine whose snapshots cost nothing, so that the log is
// measured.
type counter struct{ list }

func (cnt *counter) Apply(string) int { return 0 }

type counterRef = Ref[*counter, string, int, []string]

// benchCallers is the number of callers that wait for a result at one time.
const benchCallers = 512

// BenchmarkDurableCommands measures commands that three voters with files have
// synced. The ratio of the two commands/s is the gain of group commit.
func BenchmarkDurableCommands(b *testing.B) {
	for _, mode := range []string{"groupCommit", "syncPerCommand"} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			lin := &links{}
			dir := b.TempDir()
			var refs []counterRef
			for _, vm := range []model.VMID{"a", "b", "c"} {
				fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, string(vm)), VM: vm, Group: "test"})
				if err != nil {
					b.Fatal(err)
				}
				var sto disk.Store = fls
				if mode == "syncPerCommand" {
					sto = syncEachStore{Files: fls}
				}
				ref, stop := startWith(b, lin, &counter{}, vm, sto, "a", "b", "c")
				defer closeFiles()
				defer stop()
				refs = append(refs, ref)
			}
			led := leaderOf(ctx, b, refs...)
			b.ResetTimer()
			proposeAll(ctx, b, led, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.StopTimer()
		})
	}
}

// proposeAll proposes count commands from many callers.
func proposeAll[M quorum.Replica[string, int, []string]](ctx context.Context, tb testing.TB, ref Ref[M, string, int, []string], count int) {
	var wg sync.WaitGroup
	for caller := range benchCallers {
		wg.Go(func() {
			for pos := caller; pos < count; pos += benchCallers {
				if _, err := ref.Propose(ctx, strconv.Itoa(pos)); err != nil {
					tb.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// The size of the restart in the table of section 1.8.
const (
	benchTasks   = 520_000
	benchChanges = 1_000
)

// BenchmarkRestart measures the time from the opening of the data directory to
// the first read, from a snapshot and 1,000 commands or from all commands.
func BenchmarkRestart(b *testing.B) {
	for mode, every := range map[string]uint64{"snapshot": benchTasks, "replay": 1 << 40} {
		b.Run(mode, func(b *testing.B) {
			ctx := context.Background()
			dir := b.TempDir()
			ref, stop := startLarge(b, dir, every)
			leaderOf(ctx, b, ref)
			proposeAll(ctx, b, ref, benchTasks+benchChanges)
			stop()
			b.ResetTimer()
			for range b.N {
				ref, stop := startLarge(b, dir, 1<<40)
				got, err := Read(ctx, leaderOf(ctx, b, ref), func(_ model.Instant, _ quorum.Role, mac *list) int { return len(mac.cmds) })
				if got != benchTasks+benchChanges || err != nil {
					b.Fatalf("got %d, %v", got, err)
				}
				b.StopTimer()
				stop()
				b.StartTimer()
			}
		})
	}
}

func startLarge(b *testing.B, dir string, every uint64) (testRef, func()) {
	b.Helper()
	fls, closeFiles, err := disk.Open(disk.Config{Dir: dir, VM: "a", Group: "test"})
	if err != nil {
		b.Fatal(err)
	}
	ref, stop, err := New(Config[*list, string, int, []string]{
		Group: "test", Self: "a", Voters: []model.VMID{"a"}, Replica: &list{}, Commands: textCodec{}, Snapshots: listCodec{},
		Store: fls, SnapshotEntries: every, SnapshotBytes: 1 << 40,
	})
	if err != nil {
		b.Fatal(err)
	}
	return ref, func() {
		stop()
		closeFiles()
	}
}
