package cell

import (
	"context"
	"errors"
	"testing"
	"time"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
)

// Guards against a busy leader that handles heartbeats whose workers have sent a newer one,
// and against submitters that wait for a turn that comes too late.
func TestBusyLeaderHandlesTheNewestHeartbeat(t *testing.T) {
	vm := startCell(t, disk.OS{})
	lea, _ := vm.AsLeader()
	configure(t, lea, 1)
	// The planner of a leader takes heartbeats from the first tick on.
	for end := time.Now().Add(time.Minute); !vm.leased(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the VM does not lead")
		}
	}
	gate, handled := make(chan struct{}), make(chan error, 2)
	vm.member.Load().ref.Do(func(model.Instant, quorum.Role, *cell.State) { <-gate })
	before := queueDropped.Value()
	for seq := range uint64(2) {
		go func() {
			_, err := lea.Heartbeat(t.Context(), flow.Heartbeat{Incarnation: flow.NewIncarnation("w", 1), Sequence: 1 + seq, Service: "svc", Address: "w"})
			handled <- err
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var busy *BusyError
	if _, err := View(ctx, lea, func(*cell.State) bool { return true }); !errors.As(err, &busy) {
		t.Errorf("read of a caller that does not wait long enough: %v, want a BusyError", err)
	}
	// The gate opens when both heartbeats have surely been sent.
	time.Sleep(50 * time.Millisecond)
	close(gate)
	errs := []error{<-handled, <-handled}
	if errs[0] == nil {
		errs[0], errs[1] = errs[1], errs[0]
	}
	if !errors.As(errs[0], &busy) || errs[1] != nil {
		t.Errorf("outcomes %v, want a BusyError for one heartbeat only", errs)
	}
	for end := time.Now().Add(time.Minute); queueDropped.Value() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the dropped heartbeat is not counted")
		}
	}
}
