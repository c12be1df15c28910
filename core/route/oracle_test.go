package route

import (
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// oracle is a plain record of what the machine was told and did. It repeats no
// decision of the machine; it only knows what must never happen.
type oracle struct {
	t   *rapid.T
	mac *Machine[int, PowerOfTwo]
	now model.Instant
	// heard is when a backend server announced last; absent after it left.
	heard  map[model.BackendID]model.Instant
	limits map[model.WorkerID]int
	inUse  map[model.WorkerID]int
	lease  model.Instant
	reqs   map[int]*record
	order  []int
	// versions counts the credits told to the machine.
	versions uint64
	stopped  bool
	preset   model.Preset
}

// record is one request as its caller sees it.
type record struct {
	state  string
	spec   RequestSpec
	worker model.WorkerID
	sent   bool
	// sends counts the servers that got a byte of it.
	sends int
}

func newOracle(t *rapid.T) *oracle {
	return &oracle{
		t: t, mac: New[int](Config[PowerOfTwo]{Seed: 3}), now: model.Instant(time.Hour),
		heard: map[model.BackendID]model.Instant{}, limits: map[model.WorkerID]int{},
		inUse: map[model.WorkerID]int{}, reqs: map[int]*record{},
	}
}

func (or *oracle) step(in Input) {
	for _, eff := range or.mac.Step(or.now, in) {
		switch msg := eff.(type) {
		case Dispatch[int]:
			or.dispatched(msg)
		case Reject[int]:
			or.ended(msg.Key(), "rejected")
			if msg.RetryAfter() < time.Second {
				or.t.Fatalf("request %d rejected without a time to retry", msg.Key())
			}
		case Forward[int]:
			if or.reqs[msg.Key()].spec.Forwarded {
				or.t.Fatalf("request %d forwarded a second time", msg.Key())
			}
			or.ended(msg.Key(), "forwarded")
		case Usage:
			if msg.InUse() != or.inUse[msg.Worker()] {
				or.t.Fatalf("usage of %s is %d, want %d", msg.Worker(), msg.InUse(), or.inUse[msg.Worker()])
			}
		}
	}
}

func (or *oracle) dispatched(di Dispatch[int]) {
	re, ba := or.reqs[di.Key()], di.Backend()
	if re.state != "waiting" {
		or.t.Fatalf("request %d dispatched while %s", di.Key(), re.state)
	}
	heard, ok := or.heard[ba.ID()]
	if !ok || or.now.Sub(heard) >= 2500*time.Millisecond {
		or.t.Fatalf("request %d sent to %s, which left or is silent", di.Key(), ba.ID())
	}
	wo := ba.Worker()
	if or.inUse[wo] >= or.limits[wo] || !or.now.Before(or.lease) {
		or.t.Fatalf("%d of %d slots of %s in use, lease over: %v", or.inUse[wo]+1, or.limits[wo], wo, !or.now.Before(or.lease))
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

// ended records an answer that says that the request was not run here.
func (or *oracle) ended(key int, state string) {
	re := or.reqs[key]
	if re.state != "waiting" || re.sends > 0 {
		or.t.Fatalf("request %d %s while %s after %d sends", key, state, re.state, re.sends)
	}
	re.state = state
}

// pick draws a request in one of the states; it returns -1 when there is none.
func (or *oracle) pick(states ...string) int {
	var keys []int
	for _, key := range or.order {
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
	key := len(or.order)
	or.order = append(or.order, key)
	or.reqs[key] = &record{state: "waiting", spec: spec}
	or.step(NewArrive(key, spec))
}

// finish ends a running request; the slot is free only when the server is done.
func (or *oracle) finish(key int, ou Outcome) {
	re := or.reqs[key]
	re.state = "over"
	if ou == Expired || ou == Cancelled {
		re.state = "lingering"
	} else {
		or.inUse[re.worker]--
	}
	or.step(NewDone(key, ou))
}

func (or *oracle) end(key int) {
	or.reqs[key].state = "over"
	or.inUse[or.reqs[key].worker]--
	or.step(NewEnded(key))
}

// unsent reports a failed connection; the request waits for its next verdict.
func (or *oracle) unsent(key int) {
	re := or.reqs[key]
	re.state = "waiting"
	or.inUse[re.worker]--
	or.step(NewUnsent(key))
}

// settle ends everything and checks that nothing is left over.
func (or *oracle) settle() {
	for _, key := range or.order {
		if or.reqs[key].state == "running" {
			or.finish(key, Expired)
		}
	}
	or.now = or.now.Add(time.Hour)
	or.step(Tick{})
	for _, key := range or.order {
		switch re := or.reqs[key]; re.state {
		case "lingering":
			or.end(key)
		case "waiting":
			or.t.Fatalf("request %d never got an answer", key)
		}
	}
	or.step(Tick{})
	if or.mac.Held() != 0 || or.mac.Waiting() != 0 || len(or.mac.requests) != 0 || len(or.mac.servers) != 0 {
		or.t.Fatalf("left over: %d slots, %d waiting, %d requests, %d servers",
			or.mac.Held(), or.mac.Waiting(), len(or.mac.requests), len(or.mac.servers))
	}
	for _, sv := range or.mac.order {
		if len(sv.queue.callers) != 0 || len(sv.free) != 0 || sv.ejected != 0 {
			or.t.Fatalf("left over: %d callers, %d free, %d ejected", len(sv.queue.callers), len(sv.free), sv.ejected)
		}
	}
}
