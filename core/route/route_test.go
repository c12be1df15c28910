package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// drawBackend draws one of four servers, two on each of two workers, with the
// incarnation inc.
func drawBackend(t *rapid.T, inc uint64) Backend {
	num := rapid.IntRange(1, 4).Draw(t, "backend")
	return NewBackend(BackendSpec{
		ID: model.BackendID(fmt.Sprint("b-", num)), Service: model.ServiceID(fmt.Sprint("s-", num%2)),
		Worker: model.WorkerID(fmt.Sprint("w-", (num+1)/2)), Address: "x", Slots: 3, Connections: 60, Incarnation: inc,
	})
}

// Guards the invariants of the request path: each request gets one answer; a
// request that may be running is never sent again or reported as not run; no
// request is dispatched beyond the credits of a worker or after their lease; and
// a server that left or stopped announcing itself gets no requests.
func TestRoutingInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		or := newOracle(t)
		incs := map[model.BackendID]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				ba := drawBackend(t, 0)
				inc := max(incs[ba.ID()], 1)
				incs[ba.ID()] = inc
				ba.spec.Incarnation = inc
				age := time.Duration(rapid.SampledFrom([]int{0, 200, 2400, 2600}).Draw(t, "age")) * time.Millisecond
				if at := or.now.Add(-age); at > or.announcedAt[ba.ID()] {
					or.announcedAt[ba.ID()] = at
				}
				or.step(NewAnnounce(ba, age))
			},
			"late announce": func(t *rapid.T) {
				// The announcement is of the incarnation that left, so it must
				// change nothing.
				ba := drawBackend(t, 0)
				if incs[ba.ID()] > 1 {
					ba.spec.Incarnation = incs[ba.ID()] - 1
					or.step(NewAnnounce(ba, 0))
				}
			},
			"leave": func(t *rapid.T) {
				ba := drawBackend(t, 0)
				id := ba.ID()
				delete(or.announcedAt, id)
				inc := max(incs[id], 1)
				incs[id] = inc + 1
				or.step(NewLeave(id, inc))
			},
			"credits": func(t *rapid.T) {
				wo := model.WorkerID(fmt.Sprint("w-", rapid.IntRange(1, 2).Draw(t, "worker")))
				or.versions++
				or.limits[wo] = rapid.IntRange(0, 3).Draw(t, "limit")
				or.step(NewCredits(wo, or.limits[wo], or.versions))
			},
			"lease": func(t *rapid.T) {
				or.leaseEnd = or.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				or.step(NewLease(or.leaseEnd))
			},
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "requests") {
					or.arrive(RequestSpec{
						Service:   model.ServiceID(fmt.Sprint("s-", rapid.IntRange(0, 2).Draw(t, "service"))),
						Caller:    fmt.Sprint("c-", rapid.IntRange(0, 3).Draw(t, "caller")),
						Timeout:   time.Duration(rapid.SampledFrom([]int{0, 1, 50, 1000}).Draw(t, "timeout")) * time.Millisecond,
						Forwarded: rapid.Bool().Draw(t, "forwarded"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
					})
				}
			},
			"sent": func(*rapid.T) {
				if key := or.drawRequest("running"); key >= 0 && or.reqs[key].sends == 0 {
					or.reqs[key].sends, or.reqs[key].sent = 1, true
					or.step(NewSent(key))
				}
			},
			"done": func(t *rapid.T) {
				if key := or.drawRequest("running"); key >= 0 {
					or.finish(key, rapid.SampledFrom([]Outcome{Answered, Answered, NotRun, Failed, Expired, Cancelled}).Draw(t, "outcome"))
				}
			},
			"ended": func(*rapid.T) {
				if key := or.drawRequest("abandoned"); key >= 0 {
					or.slotReleased(key)
				}
			},
			"unsent": func(*rapid.T) {
				if key := or.drawRequest("running"); key >= 0 && !or.reqs[key].sent {
					or.unsent(key)
				}
			},
			"reports against a sent request": func(t *rapid.T) {
				if key := or.drawRequest("running"); key >= 0 && or.reqs[key].sent {
					or.step(rapid.SampledFrom([]Input{NewUnsent(key), NewCancel(key), NewSlotReleased(key)}).Draw(t, "report"))
				}
			},
			"stray reports": func(t *rapid.T) {
				if key := or.drawRequest("over", "rejected", "forwarded"); key >= 0 {
					or.step(rapid.SampledFrom([]Input{NewUnsent(key), NewSlotReleased(key), NewDone(key, Answered), NewCancel(key), NewSent(key)}).Draw(t, "report"))
				}
			},
			"cancel": func(*rapid.T) {
				key := or.drawRequest("waiting", "running")
				if key < 0 || or.reqs[key].sent {
					return
				}
				if re := or.reqs[key]; re.state == "running" {
					re.state = "over"
					or.inUse[re.worker]--
				}
				or.step(NewCancel(key))
			},
			"advance": func(t *rapid.T) {
				or.now = or.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 400, 2600}).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(*rapid.T) { or.step(Tick{}) },
			"admit": func(t *rapid.T) {
				or.step(NewAdmitPercent(rapid.SampledFrom([]int{0, 50, 100, 100}).Draw(t, "percent")))
			},
			"preset": func(t *rapid.T) {
				pr, err := model.NewPreset(model.PresetSpec{Name: "peak", Forward: rapid.Bool().Draw(t, "forward")})
				if err != nil {
					t.Fatal(err)
				}
				or.step(NewActivePreset(pr))
			},
		})
		or.checkDrained()
	})
}
