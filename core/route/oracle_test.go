package route

import (
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// oracle records the inputs and effects of a machine and checks the invariants.
// It does not predict decisions of the machine; it fails the test only on an
// effect that is never allowed.
type oracle struct {
	t   *rapid.T
	mac *Machine[int, PowerOfTwo]
	now model.Instant
	// announcedAt is when a backend server last announced itself; it has no entry
	// for a server that left.
	announcedAt map[model.BackendID]model.Instant
	// limits and inUse are the credits and the slots in use of each worker.
	limits   map[model.WorkerID]int
	inUse    map[model.WorkerID]int
	leaseEnd model.Instant
	reqs     map[int]*requestRecord
	// keys lists the keys of all requests in order of arrival.
	keys []int
	// versions counts the Credits inputs.
	versions uint64
	stopped  bool
	preset   model.Preset
}

// requestRecord is what the oracle records of one request.
type requestRecord struct {
	// state is "waiting", "running", "abandoned", "over", "rejected" or
	// "forwarded". A running request was dispatched; sent means that a byte of it
	// was sent.
	state  string
	spec   RequestSpec
	worker model.WorkerID
	sent   bool
	// sends is 1 if a byte of the request was sent to a server, else 0.
	sends int
}

func newOracle(t *rapid.T) *oracle {
	return &oracle{
		t: t, mac: New[int](Config[PowerOfTwo]{Seed: 3}), now: model.Instant(time.Hour),
		announcedAt: map[model.BackendID]model.Instant{}, limits: map[model.WorkerID]int{},
		inUse: map[model.WorkerID]int{}, reqs: map[int]*requestRecord{},
	}
}

func (or *oracle) step(in Input) {
	for _, eff := range or.mac.Step(or.now, in) {
		switch msg := eff.(type) {
		case Dispatch[int]:
			or.dispatched(msg)
		case Reject[int]:
			or.notRun(msg.Key(), "rejected")
			if msg.RetryAfter() < time.Second {
				or.t.Fatalf("request %d rejected with a Retry-After below 1 s", msg.Key())
			}
		case Forward[int]:
			if or.reqs[msg.Key()].spec.Forwarded {
				or.t.Fatalf("request %d forwarded a second time", msg.Key())
			}
			or.notRun(msg.Key(), "forwarded")
		case Usage:
			if msg.InUse() != or.inUse[msg.Worker()] {
				or.t.Fatalf("usage of %s is %d, want %d", msg.Worker(), msg.InUse(), or.inUse[msg.Worker()])
			}
		}
	}
}

// dispatched checks that the request of di waited and may be sent to the server.
func (or *oracle) dispatched(di Dispatch[int]) {
	re, ba := or.reqs[di.Key()], di.Backend()
	if re.state != "waiting" {
		or.t.Fatalf("request %d dispatched while %s", di.Key(), re.state)
	}
	announcedAt, ok := or.announcedAt[ba.ID()]
	if !ok || or.now.Sub(announcedAt) >= 2500*time.Millisecond {
		or.t.Fatalf("request %d sent to %s, which left or has no recent announcement", di.Key(), ba.ID())
	}
	wo := ba.Worker()
	if or.inUse[wo] >= or.limits[wo] || !or.now.Before(or.leaseEnd) {
		or.t.Fatalf("%d of %d slots of %s in use, lease over: %v", or.inUse[wo]+1, or.limits[wo], wo, !or.now.Before(or.leaseEnd))
	}
	if re.sends > 0 {
		or.t.Fatalf("request %d sent twice", di.Key())
	}
	if !or.now.Before(di.Deadline()) {
		or.t.Fatalf("request %d dispatched after its deadline", di.Key())
	}
	re.state, re.worker = "running", wo
	or.inUse[wo]++
}

// notRun records a Reject or Forward, which state that the request was not run
// here.
func (or *oracle) notRun(key int, state string) {
	re := or.reqs[key]
	if re.state != "waiting" || re.sends > 0 {
		or.t.Fatalf("request %d %s while %s after %d sends", key, state, re.state, re.sends)
	}
	re.state = state
}

// drawRequest draws a request in one of the states and returns its key, or -1 if
// there is none.
func (or *oracle) drawRequest(states ...string) int {
	var keys []int
	for _, key := range or.keys {
		for _, state := range states {
			if or.reqs[key].state == state {
				keys = append(keys, key)
			}
		}
	}
	if len(keys) == 0 {
		return -1
	}
	return rapid.SampledFrom(keys).Draw(or.t, "request")
}

func (or *oracle) arrive(spec RequestSpec) {
	key := len(or.keys)
	or.keys = append(or.keys, key)
	or.reqs[key] = &requestRecord{state: "waiting", spec: spec}
	or.step(NewArrive(key, spec))
}

// finish reports the outcome of a running request. The slot of an expired or
// cancelled one stays in use.
func (or *oracle) finish(key int, ou Outcome) {
	re := or.reqs[key]
	re.state = "over"
	if ou == Expired || ou == Cancelled {
		re.state = "abandoned"
	} else {
		or.inUse[re.worker]--
	}
	or.step(NewDone(key, ou))
}

func (or *oracle) slotReleased(key int) {
	or.reqs[key].state = "over"
	or.inUse[or.reqs[key].worker]--
	or.step(NewSlotReleased(key))
}

// unsent reports a failed connection; the request waits again for a Dispatch or
// Reject.
func (or *oracle) unsent(key int) {
	re := or.reqs[key]
	re.state = "waiting"
	or.inUse[re.worker]--
	or.step(NewUnsent(key))
}

// checkDrained ends all requests and checks that the machine has no records
// left.
func (or *oracle) checkDrained() {
	for _, key := range or.keys {
		if or.reqs[key].state == "running" {
			or.finish(key, Expired)
		}
	}
	or.now = or.now.Add(time.Hour)
	or.step(Tick{})
	for _, key := range or.keys {
		switch re := or.reqs[key]; re.state {
		case "abandoned":
			or.slotReleased(key)
		case "waiting":
			or.t.Fatalf("request %d never got an answer", key)
		}
	}
	or.step(Tick{})
	if or.mac.SlotsInUse() != 0 || or.mac.Waiting() != 0 || len(or.mac.requests) != 0 || len(or.mac.servers) != 0 {
		or.t.Fatalf("left over: %d slots, %d waiting, %d requests, %d servers",
			or.mac.SlotsInUse(), or.mac.Waiting(), len(or.mac.requests), len(or.mac.servers))
	}
	for _, sv := range or.mac.serviceList {
		if len(sv.queue.callers) != 0 || len(sv.available) != 0 || sv.ejectedCount != 0 {
			or.t.Fatalf("left over: %d callers, %d available, %d ejected", len(sv.queue.callers), len(sv.available), sv.ejectedCount)
		}
	}
}
