package cell

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/group"
	"guavarail/io/wire"
)

// encoded is the codec of commands that are encoded already. It decodes none.
type encoded struct{}

func (encoded) Encode(buf []byte) ([]byte, error) { return buf, nil }

func (encoded) Decode([]byte) ([]byte, error) { return nil, nil }

// noState is a state machine without a state.
type noState struct{}

func (noState) Apply([]byte) int { return 0 }

func (noState) Snapshot() []byte { return nil }

func (noState) Restore([]byte) {}

// appendEntry appends an encoded command to the log of a cell of one VM, which is stopped.
func appendEntry(t *testing.T, set config.Cell, entry []byte) {
	t.Helper()
	dir, _ := set.DataDir()
	self := model.VMID(set.Listen().Peers().String())
	fls, closeFiles, err := disk.Open(disk.Config{Dir: filepath.Join(dir, groupName), VM: self, Group: groupName, Logger: hclog.NewNullLogger(), FS: disk.OS{}})
	if err != nil {
		t.Fatal(err)
	}
	defer closeFiles()
	ref, stop, err := group.New(group.Config[noState, []byte, int, []byte]{
		Group: groupName, Self: self, Voters: []model.VMID{self}, Commands: encoded{}, Snapshots: encoded{}, Store: fls,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for leading := false; !leading; time.Sleep(10 * time.Millisecond) {
		if leading, err = group.Read(ctx, ref, func(model.Instant, quorum.Role, noState) bool { return true }); ctx.Err() != nil {
			t.Fatal(err)
		}
	}
	if _, err := ref.Propose(ctx, entry); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cell that cannot start again, because its log has a configuration that
// an earlier version stored with a limit of failures of -1 in place of 4294967295.
func TestCellStartsWithAnInvalidEntry(t *testing.T) {
	set := cellSettings(t)
	start := func() (Leader, func()) {
		vm, stop, err := newVM(set, hclog.NewNullLogger(), disk.OS{})
		if err != nil {
			t.Fatal(err)
		}
		lea, _ := vm.AsLeader()
		return lea, stop
	}
	lea, stop := start()
	configure(t, lea, 1)
	stop()
	entry, err := proto.Marshal(&wire.CellCommand{Document: &wire.CellDocument{
		Version: 2, Services: []*wire.CellService{{Name: "desk"}},
		Queues: []*wire.CellQueue{{Host: "desk.example", Prefix: "/fit/", Service: "desk", TimeoutNs: int64(time.Second), Attempts: -1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	appendEntry(t, set, entry)
	lea, stop = start()
	defer func() { stop() }()
	for _, version := range []uint64{1, 3} {
		configure(t, lea, version)
		if doc, err := lea.Configuration(t.Context()); err != nil || doc.Version() != version {
			t.Errorf("configuration %d, %v; want version %d", doc.Version(), err, version)
		}
	}
	stop()
	lea, stop = start()
	configure(t, lea, 3)
}
