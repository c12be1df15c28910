package flow

import (
	"fmt"
	"time"

	"guavarail/core/model"
)

// simFaults injects faults in series, with calm times between them.
type simFaults struct {
	sim *simulation
	// disruptedUntil is when the last disruption of a leader or of a worker ends
	// or has ended.
	disruptedUntil model.Instant
	racks          int
	// replaced counts the workers that came under a new name.
	replaced int
	// end is when no further faults begin.
	end model.Instant
	// note is told about each fault.
	note func(format string, args ...any)
}

// start schedules series of faults from a time on. In one simulation of three a
// fifth to a third of the workers is lost for good first.
func (fa *simFaults) start(from model.Instant) {
	sim := fa.sim
	sim.at(from, func() {
		if sim.rng.IntN(3) == 0 {
			fa.loseMany(0.2 + 0.15*sim.rng.Float64())
		}
		fa.series(1 + sim.rng.IntN(7))
	})
}

// loseMany removes a share of the workers, within some seconds.
func (fa *simFaults) loseMany(share float64) {
	sim := fa.sim
	lose := []func(wk *workerSim){fa.remove, fa.drain}[sim.rng.IntN(2)]
	for _, pos := range sim.rng.Perm(len(sim.workers))[:int(share*float64(len(sim.workers)))] {
		sim.at(sim.after(6000), func() { lose(sim.workers[pos]) })
	}
}

// series injects a number of faults and, after a calm time, begins again.
func (fa *simFaults) series(num int) {
	sim := fa.sim
	if sim.now >= fa.end {
		return
	}
	if num == 0 {
		calm := sim.between(8*time.Second, 16*time.Second)
		sim.at(sim.now.Add(calm), func() { fa.series(1 + sim.rng.IntN(7)) })
		return
	}
	fa.inject()
	sim.at(sim.now.Add(sim.between(0, 4*time.Second)), func() { fa.series(num - 1) })
}

// inject injects a random fault.
func (fa *simFaults) inject() {
	sim := fa.sim
	wk := sim.workers[sim.rng.IntN(len(sim.workers))]
	switch sim.rng.IntN(13) {
	case 0, 1:
		fa.crash(wk)
	case 2:
		fa.remove(wk)
	case 3:
		fa.loseRack()
	case 4, 5:
		for range 1 + sim.rng.IntN(1+len(sim.workers)/8) {
			fa.drain(sim.workers[sim.rng.IntN(len(sim.workers))])
		}
	case 6, 7:
		for range 1 + sim.rng.IntN(1+len(sim.workers)/6) {
			fa.cut(sim.workers[sim.rng.IntN(len(sim.workers))])
		}
	case 8:
		fa.degradeLinks()
	case 9, 10:
		fa.changeLeader()
	case 11:
		fa.degrade(wk)
	case 12:
		fa.evacuate(wk.centre)
	}
}

// disrupt records that a disruption lasts until a time.
func (fa *simFaults) disrupt(until model.Instant, format string, args ...any) {
	fa.disruptedUntil = max(fa.disruptedUntil, until)
	fa.note(format, args...)
}

// crash crashes a worker, which returns under its name, or is replaced by one
// with another name at its address. It may be slow at first.
func (fa *simFaults) crash(wk *workerSim) {
	sim := fa.sim
	if !wk.up {
		return
	}
	down := sim.between(200*time.Millisecond, 5*time.Second)
	rename, cold := sim.rng.IntN(2) == 0, sim.rng.IntN(3) == 0
	fa.disrupt(sim.now, "%s crashes for %v, renamed %v", wk.name, down, rename)
	sim.exit(wk)
	sim.at(sim.now.Add(down), func() {
		if rename {
			fa.replaced++
			wk.name = fmt.Sprint("n", fa.replaced)
		}
		sim.boot(wk)
		if cold {
			wk.slowUntil = sim.after(6000)
		}
		sim.sendHeartbeat(wk)
	})
}

// remove crashes a worker for good.
func (fa *simFaults) remove(wk *workerSim) {
	if wk.up {
		fa.disrupt(fa.sim.now, "%s is gone", wk.name)
		fa.sim.exit(wk)
	}
}

// loseRack crashes or cuts off the workers of a rack.
func (fa *simFaults) loseRack() {
	sim := fa.sim
	rack := fmt.Sprint("r", sim.rng.IntN(fa.racks))
	lose := []func(wk *workerSim){fa.crash, fa.cut, fa.remove}[sim.rng.IntN(3)]
	for _, wk := range sim.workers {
		if wk.rack == rack {
			lose(wk)
		}
	}
}

// drain drains a worker, which exits after some seconds. Another one may replace
// it later.
func (fa *simFaults) drain(wk *workerSim) {
	sim := fa.sim
	if !wk.up || wk.draining {
		return
	}
	stay, startedAt := sim.between(2*time.Second, 8*time.Second), wk.startedAt
	fa.disrupt(sim.now.Add(stay), "%s drains for %v", wk.name, stay)
	wk.draining, wk.exitsAt = true, sim.now.Add(stay)
	sim.at(sim.now.Add(stay), func() {
		if !wk.up || wk.startedAt != startedAt {
			return
		}
		again := func() {
			fa.disrupt(sim.now, "%s exits", wk.name)
			if sim.rng.IntN(2) == 0 {
				sim.at(sim.after(8000), func() { sim.boot(wk); sim.sendHeartbeat(wk) })
			}
		}
		wk.silent = sim.rng.IntN(2) == 0
		if sim.rng.IntN(8) > 0 {
			sim.announceExit(wk, again)
			return
		}
		sim.exit(wk)
		again()
	})
}

// cut lets no answer reach a worker for some seconds, and maybe no heartbeat
// arrive from it.
func (fa *simFaults) cut(wk *workerSim) {
	sim := fa.sim
	if !wk.up {
		return
	}
	until := sim.now.Add(sim.between(4*time.Second, 9*time.Second))
	wk.unansweredUntil = until
	if sim.rng.IntN(2) == 0 {
		wk.unheardUntil = until
	}
	fa.disrupt(until, "%s is cut off for %v, unheard %v", wk.name, until.Sub(sim.now), wk.unheardUntil == until)
}

// degradeLinks delays, repeats and loses messages for some seconds.
func (fa *simFaults) degradeLinks() {
	sim := fa.sim
	dur := sim.between(time.Second, 5*time.Second)
	fa.disrupt(sim.now.Add(dur), "messages are late, lost and repeated for %v", dur)
	late, lost, repeated := sim.lateShare, sim.lostShare, sim.repeatedShare
	sim.lateShare, sim.lostShare, sim.repeatedShare = 0.3*sim.rng.Float64(), 0.2*sim.rng.Float64(), 0.2
	sim.at(sim.now.Add(dur), func() {
		sim.lateShare, sim.lostShare, sim.repeatedShare = min(late, 0.01), min(lost, 0.01), min(repeated, 0.01)
	})
}

// changeLeader makes the leader fail.
func (fa *simFaults) changeLeader() {
	sim := fa.sim
	if sim.leader == nil {
		return
	}
	gap := sim.between(simLeaderLease, 2500*time.Millisecond)
	fa.disrupt(sim.now.Add(gap), "the leader changes within %v", gap)
	sim.failOver(gap)
}

// degrade makes the runs that start on a worker fail, hang or be slow for some
// seconds.
func (fa *simFaults) degrade(wk *workerSim) {
	sim := fa.sim
	until := sim.now.Add(sim.between(2*time.Second, 8*time.Second))
	kind := sim.rng.IntN(3)
	*[]*model.Instant{&wk.failingUntil, &wk.hangingUntil, &wk.slowUntil}[kind] = until
	fa.note("%s %s for %v", wk.name, []string{"fails", "hangs", "is slow"}[kind], until.Sub(sim.now))
}

// evacuate takes a data centre out of service for some seconds, in which no task
// may start there.
func (fa *simFaults) evacuate(centre model.CentreID) {
	sim := fa.sim
	if len(sim.outage) > 0 {
		return
	}
	dur := sim.between(3*time.Second, 12*time.Second)
	fa.disrupt(sim.now, "centre %s is out for %v", centre, dur)
	sim.setOutage(map[model.CentreID]bool{centre: true})
	sim.at(sim.now.Add(dur), func() { sim.setOutage(nil) })
}

// setOutage replaces the set of data centres that are out of service.
func (sim *simulation) setOutage(centres map[model.CentreID]bool) {
	sim.outage = centres
	for _, vm := range sim.vms {
		sim.step(vm, Outage{Centres: centres})
	}
}
