package limit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
)

// Guards against a lease that is closed while its request is served, against memory that is
// lost, and against data races, while many connections compete for little memory.
func TestServedRequestsKeepTheirConnection(t *testing.T) {
	bud := New(Config{MemoryMB: 1, Files: 64})
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for range 50 {
				var evicted, serving atomic.Bool
				le, ok := bud.Connect(buffer.Callers, "a", func() {
					evicted.Store(true)
					if serving.Load() {
						t.Error("evicted while the request is served")
					}
				})
				if !ok {
					continue
				}
				if le.Reserve(t.Context(), 4<<20) == nil && le.Serve() {
					serving.Store(true)
					time.Sleep(time.Millisecond)
					serving.Store(false)
				}
				le.Settle()
				le.Close()
				le.Close()
			}
		})
	}
	group.Wait()
	if held, open := bud.state.Held(), bud.open(); held != 0 || open != 0 || len(bud.leases) != 0 {
		t.Errorf("left: %d bytes, %d connections, %d leases", held, open, len(bud.leases))
	}
}

// Guards against a wait for memory that does not end.
func TestReserveWaitsOnlyForATime(t *testing.T) {
	bud := New(Config{MemoryMB: 1})
	first := bud.Enter(buffer.Callers, func() { t.Error("a served request was ended") })
	if err := first.Reserve(t.Context(), 12<<20); err != nil || !first.Serve() {
		t.Fatal("no memory for the first request")
	}
	second := bud.Enter(buffer.Callers, func() {})
	var ref *NoMemoryError
	if err := second.Reserve(t.Context(), 8<<20); !errors.As(err, &ref) {
		t.Errorf("error %v, want a NoMemoryError", err)
	}
	got := make(chan error, 1)
	go func() { got <- second.Reserve(t.Context(), 8<<20) }()
	for waits := false; !waits; time.Sleep(time.Millisecond) {
		bud.mu.Lock()
		waits = bud.state.Waits(second.id)
		bud.mu.Unlock()
	}
	first.Settle()
	if err := <-got; err != nil {
		t.Errorf("after the release: %v", err)
	}
}

// Guards against bounds in a process whose settings set none.
func TestWithoutSettingsThereIsNoBound(t *testing.T) {
	for _, bud := range []*Budget{nil, {}, New(Config{})} {
		le, ok := bud.Connect(buffer.Callers, "a", func() { t.Error("evicted") })
		if !ok || bud.Bounded() || le.Reserve(t.Context(), 1<<40) != nil || !le.Serve() {
			t.Error("a bound without settings")
		}
		le.Settle()
		le.Close()
		bud.Count(LargeBody)
	}
}
