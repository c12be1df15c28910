package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// bench is a machine with servers of the service s, driven by hand.
type bench struct {
	mac  *Machine[int, PowerOfTwo]
	now  model.Instant
	next int
	// sent maps requests to the server that they went to.
	sent     map[int]model.BackendID
	rejected map[int]Reason
	order    []int
}

func newBench(servers, slots int) *bench {
	be := &bench{mac: New[int](Config[PowerOfTwo]{Seed: 1}), sent: map[int]model.BackendID{}, rejected: map[int]Reason{}}
	be.step(NewShare(0, 1))
	be.announce(servers, slots)
	return be
}

func (be *bench) announce(servers, slots int) {
	for i := range servers {
		be.step(NewAnnounce(NewBackend(BackendSpec{
			ID: model.BackendID(fmt.Sprint("b-", i)), Worker: model.WorkerID(fmt.Sprint("w-", i)), Service: "s", Slots: slots,
		}), 0))
	}
}

func (be *bench) step(in Input) {
	for _, eff := range be.mac.Step(be.now, in) {
		switch msg := eff.(type) {
		case Dispatch[int]:
			be.sent[msg.Key()] = msg.Backend().ID()
			be.order = append(be.order, msg.Key())
		case Reject[int]:
			be.rejected[msg.Key()] = msg.Reason()
		}
	}
}

func (be *bench) arrive(caller string, timeout time.Duration) int {
	be.next++
	be.step(NewArrive(be.next, RequestSpec{Service: "s", Caller: caller, Timeout: timeout}))
	return be.next
}

// Guards against a caller with many requests, or with long ones, that takes the
// slots of another one.
func TestCallersShareSlotTime(t *testing.T) {
	be := newBench(1, 4)
	callers := map[int]string{}
	held := map[string]time.Duration{}
	var running []int
	ends := map[int]model.Instant{}
	for tick := range 4000 {
		be.now = be.now.Add(time.Millisecond)
		if tick%500 == 0 {
			be.announce(1, 4)
		}
		for _, key := range slices.Clone(running) {
			if !be.now.Before(ends[key]) {
				running = slices.DeleteFunc(running, func(other int) bool { return other == key })
				be.step(NewDone(key, Answered))
			}
		}
		// The heavy caller sends twice as often, and its requests take 4 times as long.
		for _, caller := range []string{"heavy", "light", "heavy"} {
			callers[be.arrive(caller, time.Second)] = caller
		}
		for _, key := range be.order {
			took := 10 * time.Millisecond
			if callers[key] == "heavy" {
				took *= 4
			}
			held[callers[key]] += took
			ends[key] = be.now.Add(took)
			running = append(running, key)
		}
		be.order = nil
	}
	share := float64(held["heavy"]) / float64(held["heavy"]+held["light"])
	if share < 0.4 || share > 0.6 {
		t.Errorf("the heavy caller got %.0f%% of the slot time", 100*share)
	}
}

// Guards against waiting requests of one caller that run in another order than
// by deadline, and against one that runs although its deadline passed.
func TestQueueGoesByDeadline(t *testing.T) {
	be := newBench(1, 1)
	first := be.arrive("c", time.Minute)
	late := be.arrive("c", 50*time.Second)
	early := be.arrive("c", 20*time.Second)
	be.step(NewDone(first, Answered))
	be.now = be.now.Add(time.Minute)
	be.announce(1, 1)
	be.step(NewDone(early, Answered))
	if len(be.order) != 2 || be.order[1] != early {
		t.Errorf("order %v, want %d and %d", be.order, first, early)
	}
	if be.rejected[late] != TooLate {
		t.Errorf("request past its deadline: %v", be.rejected[late])
	}
}

// Guards against ejecting more than half of the servers, and against servers
// that stay ejected.
func TestEjectionKeepsHalfTheServers(t *testing.T) {
	be := newBench(4, 8)
	for range 200 {
		be.step(NewDone(be.arrive("c", 0), Failed))
	}
	ejected := func() int {
		num := 0
		for _, st := range be.mac.Servers(be.now) {
			if st.Ejected() {
				num++
			}
		}
		return num
	}
	if got := ejected(); got != 2 {
		t.Errorf("%d of 4 servers ejected, want 2", got)
	}
	be.now = be.now.Add(1100 * time.Millisecond)
	be.announce(4, 8)
	be.step(Tick{})
	if got := ejected(); got != 0 {
		t.Errorf("%d servers still ejected", got)
	}
}

// Guards against retries that multiply the load when no server can be reached.
func TestRetriesAreBounded(t *testing.T) {
	be := newBench(4, 8)
	const requests = 1000
	sends := 0
	for range requests {
		key := be.arrive("c", 0)
		for be.sent[key] != "" {
			sends++
			delete(be.sent, key)
			be.step(NewUnsent(key))
		}
	}
	if most := requests + requests/10 + retryBound/retryCost; sends > most {
		t.Errorf("%d sends for %d requests, want at most %d", sends, requests, most)
	}
}

// Guards against a queue that grows without bound.
func TestQueueIsBounded(t *testing.T) {
	be := newBench(2, 8)
	for i := range 200 {
		be.arrive(fmt.Sprint("c-", i%7), 0)
	}
	if got := be.mac.Waiting(); got != 32 {
		t.Errorf("%d wait for 16 slots, want 2 for each", got)
	}
	if len(be.rejected) != 200-16-32 {
		t.Errorf("%d rejected", len(be.rejected))
	}
}
