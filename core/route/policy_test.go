package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// harness drives a machine with servers of one service, s.
type harness struct {
	mac *Machine[int, PowerOfTwo]
	now model.Instant
	// lastKey is the key of the last request, 0 before the first.
	lastKey int
	// dispatchedTo maps the keys of requests to the server that they were last
	// dispatched to, rejected to the reason of the rejection.
	dispatchedTo map[int]model.BackendID
	rejected     map[int]Reason
	// dispatches lists the keys of the dispatched requests in order.
	dispatches []int
}

func newHarness(servers, slots int) *harness {
	ha := &harness{mac: New[int](Config[PowerOfTwo]{Seed: 1}), dispatchedTo: map[int]model.BackendID{}, rejected: map[int]Reason{}}
	ha.step(NewStaticShare(0, 1))
	ha.announce(servers, slots)
	return ha
}

func (ha *harness) announce(servers, slots int) {
	for i := range servers {
		ha.step(NewAnnounce(NewBackend(BackendSpec{
			ID: model.BackendID(fmt.Sprint("b-", i)), Worker: model.WorkerID(fmt.Sprint("w-", i)), Service: "s", Slots: slots,
		}), 0))
	}
}

func (ha *harness) step(in Input) {
	for _, eff := range ha.mac.Step(ha.now, in) {
		switch msg := eff.(type) {
		case Dispatch[int]:
			ha.dispatchedTo[msg.Key()] = msg.Backend().ID()
			ha.dispatches = append(ha.dispatches, msg.Key())
		case Reject[int]:
			ha.rejected[msg.Key()] = msg.Reason()
		}
	}
}

func (ha *harness) arrive(caller string, timeout time.Duration) int {
	ha.lastKey++
	ha.step(NewArrive(ha.lastKey, RequestSpec{Service: "s", Caller: caller, Timeout: timeout}))
	return ha.lastKey
}

// Guards against a caller that gets more slot time than another one because it
// sends more requests or longer ones.
func TestCallersShareSlotTime(t *testing.T) {
	ha := newHarness(1, 4)
	callers := map[int]string{}
	held := map[string]time.Duration{}
	var running []int
	ends := map[int]model.Instant{}
	for tick := range 4000 {
		ha.now = ha.now.Add(time.Millisecond)
		if tick%500 == 0 {
			ha.announce(1, 4)
		}
		for _, key := range slices.Clone(running) {
			if !ha.now.Before(ends[key]) {
				running = slices.DeleteFunc(running, func(other int) bool { return other == key })
				ha.step(NewDone(key, Answered))
			}
		}
		// The heavy caller sends twice as often, and its requests take 4 times as long.
		for _, caller := range []string{"heavy", "light", "heavy"} {
			callers[ha.arrive(caller, time.Second)] = caller
		}
		for _, key := range ha.dispatches {
			took := 10 * time.Millisecond
			if callers[key] == "heavy" {
				took *= 4
			}
			held[callers[key]] += took
			ends[key] = ha.now.Add(took)
			running = append(running, key)
		}
		ha.dispatches = nil
	}
	share := float64(held["heavy"]) / float64(held["heavy"]+held["light"])
	if share < 0.4 || share > 0.6 {
		t.Errorf("the heavy caller got %.0f%% of the slot time, want 40%% to 60%%", 100*share)
	}
}

// Guards against waiting requests of one caller that are not dispatched in order
// of their deadlines, and against a request that is dispatched after its
// deadline.
func TestQueueGoesByDeadline(t *testing.T) {
	ha := newHarness(1, 1)
	first := ha.arrive("c", time.Minute)
	late := ha.arrive("c", 50*time.Second)
	early := ha.arrive("c", 20*time.Second)
	ha.step(NewDone(first, Answered))
	ha.now = ha.now.Add(time.Minute)
	ha.announce(1, 1)
	ha.step(NewDone(early, Answered))
	if len(ha.dispatches) != 2 || ha.dispatches[1] != early {
		t.Errorf("order %v, want %d and %d", ha.dispatches, first, early)
	}
	if ha.rejected[late] != TooLate {
		t.Errorf("request past its deadline: %v", ha.rejected[late])
	}
}

// Guards against ejecting more than half of the servers, and against servers
// that stay ejected.
func TestEjectionKeepsHalfTheServers(t *testing.T) {
	ha := newHarness(4, 8)
	for range 200 {
		ha.step(NewDone(ha.arrive("c", 0), Failed))
	}
	ejected := func() int {
		num := 0
		for _, st := range ha.mac.Servers(ha.now) {
			if st.Ejected() {
				num++
			}
		}
		return num
	}
	if got := ejected(); got != 2 {
		t.Errorf("%d of 4 servers ejected, want 2", got)
	}
	// The first ejection lasts minEjection, which is 1 s.
	ha.now = ha.now.Add(1100 * time.Millisecond)
	ha.announce(4, 8)
	ha.step(Tick{})
	if got := ejected(); got != 0 {
		t.Errorf("%d servers still ejected", got)
	}
}

// Guards against retries that multiply the load when no server can be reached.
func TestRetriesAreBounded(t *testing.T) {
	ha := newHarness(4, 8)
	const requests = 1000
	sends := 0
	for range requests {
		key := ha.arrive("c", 0)
		for ha.dispatchedTo[key] != "" {
			sends++
			delete(ha.dispatchedTo, key)
			ha.step(NewUnsent(key))
		}
	}
	if limit := requests + requests/10 + retryBudget/retryCost; sends > limit {
		t.Errorf("%d sends for %d requests, want at most %d", sends, requests, limit)
	}
}

// Guards against a queue that grows without bound.
func TestQueueIsBounded(t *testing.T) {
	ha := newHarness(2, 8)
	for i := range 200 {
		ha.arrive(fmt.Sprint("c-", i%7), 0)
	}
	if got := ha.mac.Waiting(); got != 32 {
		t.Errorf("%d requests wait for 16 slots, want 32: DefaultQueuePerSlot is 2", got)
	}
	if len(ha.rejected) != 200-16-32 {
		t.Errorf("%d requests rejected, want 152", len(ha.rejected))
	}
}
