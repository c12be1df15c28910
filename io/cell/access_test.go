package cell

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/model"
	"guavarail/io/disk"
)

// testWorkspace returns a workspace with one key.
func testWorkspace(name, key string) cell.Workspace {
	return cell.NewWorkspace(cell.WorkspaceSpec{Name: model.WorkspaceID(name), Keys: []string{key}})
}

// keyedDocument returns a configuration with a queue and one workspace with one key.
func keyedDocument(t *testing.T, version uint64, key string) cell.Document {
	t.Helper()
	doc, err := cell.NewDocument(cell.DocumentSpec{
		Version: version, Keyed: true, Services: []cell.Service{cell.NewService("desk", true)},
		Queues:     []cell.Queue{cell.NewQueue(cell.QueueSpec{Host: "desk.example", Prefix: "/fit/", Service: "desk", Timeout: time.Second})},
		Workspaces: []cell.Workspace{testWorkspace("a", key)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// configureAny stores a configuration through whichever VM leads, and returns its leader
// operations.
func configureAny(t testing.TB, vms []*VM, doc cell.Document) Leader {
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

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *logBuffer) Write(line []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(line)
}

func (lb *logBuffer) text() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// Guards against a log that has the key of a caller or a line for each rejected one, and
// against a rejected key that is not counted.
func TestRejectedKeysAreCountedAndNotLogged(t *testing.T) {
	const calls = 500
	lb := &logBuffer{}
	vm, stop, err := newVM(cellSettings(t), hclog.New(&hclog.LoggerOptions{Output: lb, Level: hclog.Trace}), disk.OS{})
	if err != nil {
		t.Fatal(err)
	}
	lea := configureAny(t, []*VM{vm}, keyedDocument(t, 1, "accepted-secret"))
	before := rejectedKeys.Sum()
	for range calls {
		if acc, err := lea.Access(t.Context(), Call{Host: "desk.example", Path: "/fit/", Key: "refused-secret"}); err != nil || acc.Outcome() != cell.KeyUnknown {
			t.Fatalf("%v, %v", acc.Outcome(), err)
		}
	}
	if got := rejectedKeys.Sum() - before; got != calls {
		t.Errorf("%d rejected keys counted, want %d", got, calls)
	}
	stop()
	text := lb.text()
	if num := strings.Count(text, "keyRejected"); num == 0 || num >= calls/2 {
		t.Errorf("%d lines keyRejected for %d calls", num, calls)
	}
	if strings.Contains(text, "secret") {
		t.Error("the log has a key")
	}
	if !strings.Contains(text, "workspaces=1") {
		t.Error("the log has no number of workspaces")
	}
}
