package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// Guards against more requests on a worker than it has slots, across leader
// changes, lost, delayed and reordered messages, restarted and partitioned VMs,
// and clock drift. It also guards against credits that are never granted again.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		si := newSim()
		si.runWithoutFaults(time.Second)
		busy := rapid.Bool().Draw(t, "busy")
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(si.inTransit) > 0 {
					si.deliver(rapid.IntRange(0, len(si.inTransit)-1).Draw(t, "pos"))
				}
			},
			"deliver all": func(*rapid.T) {
				for num := len(si.inTransit); num > 0; num-- {
					si.deliver(si.firstDeliverable())
				}
			},
			"lose": func(t *rapid.T) {
				if len(si.inTransit) > 0 {
					pos := rapid.IntRange(0, len(si.inTransit)-1).Draw(t, "pos")
					si.inTransit = append(si.inTransit[:pos:pos], si.inTransit[pos+1:]...)
				}
			},
			"route": func(t *rapid.T) {
				vm := si.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					si.deliverToRouting(vm)
				}
			},
			"take": func(t *rapid.T) {
				vm := si.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
				for range rapid.IntRange(1, 8).Draw(t, "messages") {
					si.deliverToHolder(vm)
				}
			},
			"start":    func(t *rapid.T) { startRequests(t, si, busy) },
			"saturate": func(*rapid.T) { si.saturate(simMaxRequestTime) },
			"surge": func(t *rapid.T) {
				num := rapid.IntRange(0, 2).Draw(t, "vm")
				for i, vm := range si.vms {
					vm.wanted[simWorkers[0]] = 1
					if i == num {
						vm.wanted[simWorkers[0]] = simSlots
					}
				}
				si.tick()
			},
			"cut":        func(t *rapid.T) { si.partitioned = rapid.IntRange(-1, 2).Draw(t, "vm") },
			"finish all": func(*rapid.T) { si.running = nil },
			"finish": func(t *rapid.T) {
				if len(si.running) > 0 {
					pos := rapid.IntRange(0, len(si.running)-1).Draw(t, "run")
					si.running = append(si.running[:pos:pos], si.running[pos+1:]...)
				}
			},
			"want": func(t *rapid.T) {
				vm := si.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
				vm.wanted[simWorkers[0]] = rapid.IntRange(0, 8).Draw(t, "wanted")
			},
			"advance":      func(t *rapid.T) { si.advance(drawTime(t)) },
			"tick":         func(*rapid.T) { si.tick() },
			"renew leader": func(*rapid.T) { si.renewLeader() },
			"elect": func(t *rapid.T) {
				if si.now.Before(si.leaderLeaseEnd) {
					si.advance(si.leaderLeaseEnd.Sub(si.now))
				}
				si.elect(rapid.IntRange(0, 1).Draw(t, "lender"))
			},
			"restart": func(t *rapid.T) { si.restart(si.vms[rapid.IntRange(0, 2).Draw(t, "vm")]) },
			"depart": func(t *rapid.T) {
				vm := si.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
				vm.leaving = true
				si.stepHolder(vm, Shutdown{})
			},
			"quiet": func(*rapid.T) { si.runWithoutFaults(300 * time.Millisecond) },
			"": func(t *rapid.T) {
				if wo, num := si.overcommitted(); num > 0 {
					t.Fatalf("%d requests run on %s with %d slots", num, wo, simSlots)
				}
			},
		})
		checkRecovers(t, si)
	})
}

// startRequests starts up to 8 requests of one VM on one worker. If busy is set,
// they take the maximum request time, otherwise 1 ms to 30 s.
func startRequests(t *rapid.T, si *sim, busy bool) {
	num := rapid.IntRange(0, 2).Draw(t, "vm")
	wo := rapid.SampledFrom(simWorkers).Draw(t, "worker")
	dur := simMaxRequestTime
	if !busy {
		dur = time.Duration(rapid.IntRange(1, 30000).Draw(t, "ms")) * time.Millisecond
	}
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		si.startRequest(num, wo, dur)
	}
}

func drawTime(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{1, 15, 100, 700, 2100, 12000, 40000}).Draw(t, "ms")) * time.Millisecond
}

// checkRecovers runs without faults for longer than it takes to reclaim credits.
// After that, every slot must be granted to a VM that is not leaving, and each of
// these VMs must have a credit of each worker.
func checkRecovers(t *rapid.T, si *sim) {
	si.partitioned = -1
	si.runWithoutFaults(40 * time.Second)
	live := 0
	for _, vm := range si.vms {
		if !vm.leaving {
			live++
		}
	}
	for _, wo := range simWorkers {
		sum := 0
		for _, vm := range si.vms {
			got := vm.limits[wo].Limit()
			sum += got
			if !vm.leaving && got < 1 {
				t.Fatalf("%s has no credit of %s", vm.name, wo)
			}
			if vm.leaving && got != 0 {
				t.Fatalf("%s left with %d credits of %s", vm.name, got, wo)
			}
		}
		if live > 0 && sum != simSlots {
			t.Fatalf("%d of %d slots of %s are granted", sum, simSlots, wo)
		}
	}
}

// Guards against the remainder of a division going to the same VM for every
// worker, and against idle VMs that have no credits for a burst.
func TestSharesAreMaxMinFair(t *testing.T) {
	for _, row := range []struct {
		slots int
		wants []int
		want  []int
	}{
		{8, []int{1, 1}, []int{4, 4}},
		{8, []int{8, 1, 1}, []int{6, 1, 1}},
		{8, []int{8, 8, 8}, []int{3, 3, 2}},
		{2, []int{1, 1, 1}, []int{1, 1, 0}},
		{0, []int{1}, []int{0}},
	} {
		got := maxMinShares(row.slots, row.wants, 0)
		for i := range row.want {
			if got[i] != row.want[i] {
				t.Errorf("maxMinShares(%d, %v) = %v, want %v", row.slots, row.wants, got, row.want)
				break
			}
		}
	}
	if got := maxMinShares(8, []int{8, 8, 8}, 1); got[0] != 2 {
		t.Errorf("the remainder is not rotated: %v", got)
	}
}

// Guards against a lender that grants credits after its leader lease has ended.
func TestLenderStopsAtLeaseEnd(t *testing.T) {
	var le Lender
	le.Step(0, NewLeadership(1, model.Instant(time.Second), nil))
	re := NewReport(ReportSpec{VM: "vm-1", Boot: 1, Term: 1, Number: 1, Full: true, Claims: []Claim{NewClaim("w-1", 8, 0, 1)}})
	if out := le.Step(model.Instant(time.Second), re); len(out) != 0 {
		t.Errorf("granted %v after the lease", out)
	}
}
