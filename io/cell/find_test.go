package cell

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/config"
)

// testCell has the VMs of a cell, on loopback addresses of their own.
type testCell struct {
	t *testing.T
	// peers and api are the ports on which all VMs listen.
	peers, api int
	// dirs has the data directories by the number of the VM.
	dirs map[int]string
}

func newTestCell(t *testing.T) *testCell {
	tc := &testCell{t: t, dirs: map[int]string{}}
	for _, port := range []*int{&tc.peers, &tc.api} {
		lis, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		*port = lis.Addr().(*net.TCPAddr).Port
		_ = lis.Close()
	}
	return tc
}

// start starts VM num, with the seeds. It has a disk unless it is an entry VM. The
// returned function stops it.
func (tc *testCell) start(num int, found, entry bool, seeds ...int) (*VM, func()) {
	tc.t.Helper()
	host := func(num int) string { return fmt.Sprintf("127.0.7.%d", num) }
	var addrs []string
	for _, seed := range seeds {
		addrs = append(addrs, fmt.Sprintf("%s:%d", host(seed), tc.api))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[vm]\nname = vm-%d\ncentre = centre-%d\nregion = north\n", num, num%3)
	listen := fmt.Sprintf("callers = %s:%d\nready = %s:%d\n", host(num), tc.api, host(num), tc.api+1)
	if !entry {
		if tc.dirs[num] == "" {
			tc.dirs[num] = tc.t.TempDir()
		}
		fmt.Fprintf(&text, "dataDir = %s\n", tc.dirs[num])
		listen = fmt.Sprintf("api = %s:%d\n", host(num), tc.api)
	}
	fmt.Fprintf(&text, "[listen]\npeers = %s:%d\n%s[cell]\nseeds = %s\nfound = %v\n", host(num), tc.peers, listen, strings.Join(addrs, ","), found)
	set, err := config.ParseCell("test.ini", []byte(text.String()))
	if err != nil {
		tc.t.Fatal(err)
	}
	vm, stop, err := New(set, hclog.NewNullLogger())
	if err != nil {
		tc.t.Fatal(err)
	}
	return vm, stop
}

// wipe replaces the disk of a VM by an empty one.
func (tc *testCell) wipe(num int) {
	tc.t.Helper()
	if err := os.RemoveAll(tc.dirs[num]); err != nil {
		tc.t.Fatal(err)
	}
	if err := os.Mkdir(tc.dirs[num], 0o755); err != nil {
		tc.t.Fatal(err)
	}
}

// awaitLeader waits until a VM has discovered a leader.
func awaitLeader(t *testing.T, what string, vm *VM) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !vm.Ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: no leader is found", what)
		}
	}
}

// Guards against a cell without a leader after a loss of power, though a quorum of the
// voters has its disks: no seed remembers the other voters, which don't know each other's
// addresses then.
func TestVotersFindEachOtherWhenNoSeedRemembersThem(t *testing.T) {
	for _, tt := range []struct {
		name string
		// running are the seeds that come back, with empty disks.
		running []int
	}{
		{"the seeds have empty disks", []int{1, 2, 3}},
		{"one seed runs, with an empty disk", []int{1}},
		{"no seed runs", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tc := newTestCell(t)
			var stops []func()
			var vms []*VM
			for _, num := range []int{3, 4, 5} {
				vm, stop := tc.start(num, true, false, 3, 4, 5)
				vms, stops = append(vms, vm), append(stops, stop)
			}
			awaitLeader(t, "first start", vms[0])
			for _, stop := range stops {
				stop()
			}
			tc.wipe(3)
			entry, stop := tc.start(9, false, true, 1, 2, 3)
			defer stop()
			for _, num := range append(tt.running, 4, 5) {
				vm, stop := tc.start(num, false, false, 1, 2, 3)
				defer stop()
				vms[0] = vm
			}
			awaitLeader(t, "voter after the loss of power", vms[0])
			if len(tt.running) > 0 {
				awaitLeader(t, "entry VM after the loss of power", entry)
			}
		})
	}
}

// Guards against a VM that finds no leader because the seeds that run are no members, after
// other VMs have become the voters.
func TestSeedThatIsNoMemberNamesLeader(t *testing.T) {
	tc := newTestCell(t)
	var vms []*VM
	for _, num := range []int{3, 4, 5} {
		vm, stop := tc.start(num, true, false, 3, 4, 5)
		defer stop()
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		awaitLeader(t, "voter", vm)
	}
	seed, stop := tc.start(1, false, false, 1, 3)
	defer stop()
	awaitLeader(t, "seed", seed)
	entry, stop := tc.start(9, false, true, 1)
	defer stop()
	awaitLeader(t, "entry VM whose seed is no member", entry)
}
