package cell

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/model"
	"guavarail/core/share"
)

// keyedDocument returns a configuration with a queue and one workspace with one key.
func keyedDocument(t *testing.T, version uint64, key string) cell.Document {
	t.Helper()
	doc, err := cell.NewDocument(cell.DocumentSpec{
		Version: version, Keyed: true, Services: []cell.Service{cell.NewService("desk", true)},
		Queues:     []cell.Queue{cell.NewQueue(cell.QueueSpec{Host: "desk.example", Prefix: "/fit/", Service: "desk", Timeout: time.Second})},
		Workspaces: []cell.Workspace{cell.NewWorkspace(cell.WorkspaceSpec{Name: "a", Keys: []string{key}, Terms: share.Terms{}})},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// configureAny stores a configuration through whichever VM leads, and returns its leader
// operations.
func configureAny(t *testing.T, vms []*VM, doc cell.Document) Leader {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, vm := range vms {
			lea, _ := vm.AsLeader()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err := lea.Configure(ctx, doc)
			cancel()
			if err == nil {
				return lea
			}
		}
	}
	t.Fatalf("version %d is not acknowledged", doc.Version())
	return Leader{}
}

// Guards against a former leader that checks a key with the configuration it knew while it
// led, and so serves a key that a later leader has revoked.
func TestFormerLeaderChecksNoKey(t *testing.T) {
	tc := newTestCell(t)
	var vms []*VM
	for num := 1; num <= 3; num++ {
		vm, stop := tc.start(num, true, false, 1, 2, 3)
		defer stop()
		vms = append(vms, vm)
	}
	cal := Call{Method: "GET", Host: "desk.example", Path: "/fit/", Key: "old", Centre: model.CentreID("c")}
	former := configureAny(t, vms, keyedDocument(t, 1, "old"))
	if acc, err := former.Access(t.Context(), cal); err != nil || acc.Outcome() != cell.Granted {
		t.Fatalf("before: %v, %v", acc.Outcome(), err)
	}
	// A transfer fails while the other VMs are no voters yet.
	for end := time.Now().Add(20 * time.Second); former.vm.leased(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the leadership is not transferred")
		}
		former.vm.TransferLeadership(t.Context())
	}
	next := configureAny(t, vms, keyedDocument(t, 2, "new"))
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		acc, err := former.Access(ctx, cal)
		cancel()
		if acc.Outcome() == cell.Granted {
			t.Fatalf("VM %s, which has led before %s, grants a revoked key", former.vm.self, next.vm.self)
		}
		if err != nil && !isNotLeader(err) && !errors.As(err, new(*BusyError)) {
			t.Errorf("former leader: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
