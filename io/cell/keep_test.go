package cell

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/cell"
	"guavarail/io/config"
	"guavarail/io/disk"
)

// refusingFS is a file system that refuses writes while refuse is set.
type refusingFS struct {
	disk.OS
	refuse atomic.Bool
}

func (rf *refusingFS) Create(name string) (disk.File, error) { return rf.wrap(rf.OS.Create(name)) }

func (rf *refusingFS) Append(name string) (disk.File, error) { return rf.wrap(rf.OS.Append(name)) }

func (rf *refusingFS) wrap(fil disk.File, err error) (disk.File, error) {
	return &refusingFile{File: fil, rf: rf}, err
}

type refusingFile struct {
	disk.File
	rf *refusingFS
}

func (fil *refusingFile) Write(buf []byte) (int, error) {
	if fil.rf.refuse.Load() {
		return 0, syscall.EIO
	}
	return fil.File.Write(buf)
}

// startCell starts a cell of one VM.
func startCell(t testing.TB, fs disk.FS) *VM {
	t.Helper()
	vm, stop, err := newVM(cellSettings(t), hclog.NewNullLogger(), fs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return vm
}

// cellSettings returns the settings of a cell of one VM with an empty data directory. lines
// are added to [cell].
func cellSettings(t testing.TB, lines ...string) config.Cell {
	t.Helper()
	var ports [2]int
	for pos := range ports {
		lis, err := net.Listen("tcp", "127.0.9.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[pos] = lis.Addr().(*net.TCPAddr).Port
		_ = lis.Close()
	}
	set, err := config.ParseCell("test.ini", fmt.Appendf(nil, "[vm]\nname = vm-1\ncentre = centre-1\nregion = north\ndataDir = %s\n"+
		"[listen]\npeers = 127.0.9.1:%d\napi = 127.0.9.1:%d\n[cell]\nseeds = 127.0.9.1:%d\nfound = true\n%s\n", t.TempDir(), ports[0], ports[1], ports[1], strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// document returns a configuration without services and queues.
func document(version uint64) cell.Document {
	doc, err := cell.NewDocument(cell.DocumentSpec{Version: version})
	if err != nil {
		panic(err)
	}
	return doc
}

// configure proposes a configuration until it is acknowledged.
func configure(t testing.TB, lea Leader, version uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		err := lea.Configure(ctx, document(version))
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("version %d: %v", version, err)
		}
	}
}

// Guards against a voter whose disk refused writes for a while and that never counts
// again: as it still announces itself, no other VM takes its place, and the loss of
// disks that the cell bears leaves no quorum.
func TestVoterReturnsAfterItsDiskRefusedWrites(t *testing.T) {
	fs := &refusingFS{}
	vm := startCell(t, fs)
	lea, _ := vm.AsLeader()
	configure(t, lea, 1)
	before := vm.workingDisk()
	fs.refuse.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	if err := lea.Configure(ctx, document(2)); err == nil {
		t.Error("configuration acknowledged by a disk that refuses writes")
	}
	cancel()
	if got := vm.workingDisk(); got != "" {
		t.Errorf("disk %s announced while it refuses writes", got)
	}
	time.Sleep(2 * restartPause)
	fs.refuse.Store(false)
	configure(t, lea, 3)
	if got := vm.workingDisk(); got != before {
		t.Errorf("disk %s after the failure, want %s", got, before)
	}
	if doc, err := lea.Configuration(t.Context()); err != nil || doc.Version() != 3 {
		t.Errorf("configuration %d, %v", doc.Version(), err)
	}
}
