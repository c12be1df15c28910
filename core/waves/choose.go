package waves

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// candidate is a machine that waits for its maintenance.
type candidate struct {
	machine *Machine
	listed  Listed
	load    Load
	track   *track
	// yields is set if an allowance has kept the machine from being drained for too long, or
	// does so before its drain has begun.
	yields bool
}

// choose returns the workers that are drained, and the operations for the machines that are
// ordered next. The machines of orders stay drained until they are down.
func (pl *Planner) choose(now model.Instant, msg *Tick) ([]Drained, []Op) {
	var ops []Op
	taken := map[MachineID]bool{}
	drained := pl.ordered(taken)
	for _, wa := range pl.waves() {
		late := msg.WallMs >= pl.latestOrderMs(wa)
		picked := pl.pick(now, wa, msg.Fleet, taken)
		pl.endDrains(wa, picked)
		for _, can := range picked {
			taken[can.machine.ID] = true
			drained = pl.appendDrained(drained, can.machine, late)
			if pl.drainedEnough(now, wa, can, late) {
				ops = append(ops, Mark(wa.spec.Number, Machine{ID: can.machine.ID, Phase: Ordered, Worker: can.listed.Worker}))
			}
		}
	}
	slices.SortStableFunc(drained, func(a, b Drained) int { return cmp.Compare(a.Worker, b.Worker) })
	return slices.CompactFunc(drained, func(a, b Drained) bool { return a.Worker == b.Worker }), ops
}

// ordered returns the workers of the machines that are ordered, and adds these to taken.
func (pl *Planner) ordered(taken map[MachineID]bool) []Drained {
	var out []Drained
	for _, wa := range pl.waves() {
		for i := range wa.machines {
			if mac := &wa.machines[i]; mac.Phase == Ordered {
				taken[mac.ID] = true
				out = pl.appendDrained(out, mac, true)
			}
		}
	}
	return out
}

func (pl *Planner) appendDrained(out []Drained, mac *Machine, late bool) []Drained {
	for _, id := range pl.workersOf(mac) {
		out = append(out, Drained{Worker: id, Late: late})
	}
	return out
}

// pick chooses as many waiting machines of a wave as may go down now. Those in taken belong to
// another wave.
func (pl *Planner) pick(now model.Instant, wa *wave, fleet Fleet, taken map[MachineID]bool) []candidate {
	room := wa.spec.Limit - pl.down(wa)
	if room <= 0 || !pl.list.fresh(now) {
		return nil
	}
	var out []candidate
	looked, begin := 0, pl.cursors[wa.spec.Number]
	for i := range wa.machines {
		mac := &wa.machines[(begin+i)%len(wa.machines)]
		drained := pl.isDrained(wa, mac)
		if mac.Phase != Waiting || taken[mac.ID] || !drained && looked >= maxLooked {
			continue
		}
		if !drained {
			looked++
			pl.cursors[wa.spec.Number] = (begin + i + 1) % len(wa.machines)
		}
		if can, ok := pl.candidate(now, wa, mac, fleet); ok {
			out = append(out, can)
		}
	}
	slices.SortFunc(out, compareCandidates)
	out = out[:min(room, len(out))]
	// Of the machines that an allowance blocks, one is drained at a time: the tasks that move
	// may need the room on the others.
	for i := 1; i < len(out); i++ {
		if out[i].yields {
			return out[:i]
		}
	}
	return out
}

// isDrained reports whether the drain of a waiting machine has begun.
func (pl *Planner) isDrained(wa *wave, mac *Machine) bool {
	tr := pl.tracks[place{wa.spec.Number, mac.ID}]
	return tr != nil && tr.drainedSince > 0
}

// candidate returns the candidate of a waiting machine, and false if it can't go next.
func (pl *Planner) candidate(now model.Instant, wa *wave, mac *Machine, fleet Fleet) (candidate, bool) {
	li, ok := pl.list.machines[mac.ID]
	if !ok || li.State == Maintained || li.State == Moving {
		return candidate{}, false
	}
	can := candidate{machine: mac, listed: li, load: fleet.Load(li.Worker), track: pl.track(wa, mac.ID)}
	if can.load.Stuck || now.Before(can.track.retryAt) {
		return candidate{}, false
	}
	can.track.answered = false
	since := can.track.drainedSince
	can.yields = can.load.Blocked && (since == 0 || now.Sub(since) > patience)
	return can, true
}

// compareCandidates orders candidates by which goes first: those that an allowance doesn't
// block, those that are drained already, and then those with the least work.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBool(a.yields, b.yields), compareBool(b.track.drainedSince > 0, a.track.drainedSince > 0),
		cmp.Compare(a.load.Bounded, b.load.Bounded), cmp.Compare(a.load.Runs, b.load.Runs), cmp.Compare(a.machine.ID, b.machine.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// endDrains forgets the drains of the waiting machines of a wave that are not picked any more.
func (pl *Planner) endDrains(wa *wave, picked []candidate) {
	for i := range wa.machines {
		mac := &wa.machines[i]
		tr := pl.tracks[place{wa.spec.Number, mac.ID}]
		if tr == nil || tr.drainedSince == 0 || mac.Phase != Waiting {
			continue
		}
		if !slices.ContainsFunc(picked, func(can candidate) bool { return can.machine == mac }) {
			tr.drainedSince, tr.lateSince = 0, 0
			pl.record("drainEnded", wa.spec.Number, mac.ID, "")
		}
	}
}

// drainedEnough notes that a machine is drained and reports whether it may be ordered: once no
// run is left, or the time is short and only runs are left that any machine may lose. The
// list must be newer than the drain, so that it shows the worker that is drained.
func (pl *Planner) drainedEnough(now model.Instant, wa *wave, can candidate, late bool) bool {
	tr := can.track
	if tr.drainedSince == 0 {
		tr.drainedSince = now
		pl.record("drainBegan", wa.spec.Number, can.machine.ID, "")
	}
	if late && tr.lateSince == 0 {
		tr.lateSince = now
	}
	if !tr.drainedSince.Before(pl.list.begun) || can.load.Bounded > 0 {
		return false
	}
	return can.load.Runs == 0 || late && now.Sub(tr.lateSince) >= stopTime
}

// latestOrderMs returns the wall time until which the drains of a wave may wait for runs to
// end, so that the turns of the waiting machines end in time.
func (pl *Planner) latestOrderMs(wa *wave) int64 {
	turns := func(num int) int64 { return int64((num + wa.spec.Limit - 1) / wa.spec.Limit) }
	upkeep := pl.upkeep.Milliseconds()
	if upkeep == 0 {
		upkeep = wa.spec.Duration.Milliseconds() * upkeepPercent / 100 / max(1, turns(len(wa.machines)))
	}
	return wa.spec.EndMs - turns(wa.count(Waiting))*(upkeep+turnOverhead.Milliseconds())
}
