package waves

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// TickInterval is the time between two ticks of the planner.
	TickInterval = 100 * time.Millisecond
	// listInterval is the time from the end of one list to the start of the next.
	listInterval = 500 * time.Millisecond
	// maxListAge is the age of a list up to which it tells which worker a machine has. A slow
	// platform is allowed maxListTurns times what the last list took beside.
	maxListAge   = 2 * time.Second
	maxListTurns = 2
	// rateWindow is the window of the platform's rates. A new leader makes no call in its
	// first window, because an earlier one may have used it up.
	rateWindow = time.Second
	// retryDelay is the time from an order that had no effect to the next one.
	retryDelay = time.Second
	// settleTime is the time after which an unanswered order is certainly carried out or
	// lost. The platform's own time limit isn't known; the client gives up after 2 s.
	settleTime = 5 * time.Second
	// patience is how long a machine is drained that is blocked by an allowance before
	// another one goes first.
	patience = 10 * time.Second
	// stopTime is the time in which late runs should stop before their machine is ordered.
	stopTime = 2 * time.Second
	// maxLooked bounds the waiting machines of a wave whose load a tick looks at, beside those
	// that are drained. Each look counts the tasks of the steps on a worker.
	maxLooked = 50
	// maxFailures is how often in a row the next page of a list may fail.
	maxFailures = 3
	// turnOverhead is what a turn of machines takes beside the maintenance: the stops, and two
	// lists, commits and calls.
	turnOverhead = stopTime + 2*time.Second
	// absences is in how many lists in a row a machine must be missing to count as gone, since
	// a page may miss a machine while others change.
	absences = 2
	// upkeepPercent is the part of the time for each turn of machines that maintenance is
	// assumed to take, in percent, before the first one has been observed.
	upkeepPercent = 50
)

// Config holds the rates of the platform, in calls per second; 0 selects one.
type Config struct {
	ReadsPerSecond  float64
	OrdersPerSecond float64
}

// interval returns the time between two calls at a rate.
func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return rateWindow
	}
	return time.Duration(float64(rateWindow) / perSecond)
}

// place is a machine of a wave.
type place struct {
	wave    Number
	machine MachineID
}

// track is what the leader knows of a machine of a wave beside the replicated state. It is
// kept from the first time that the machine is drained or ordered.
type track struct {
	// drainedSince is when the drain of the machine began, 0 if it isn't drained, and
	// lateSince when its time ran short.
	drainedSince, lateSince model.Instant
	// unansweredAt is when an order was last given up without an answer, 0 if none that
	// may still be carried out was.
	unansweredAt model.Instant
	// retryAt is when the next order may be sent.
	retryAt model.Instant
	// outcome is that of the last order until its mark is applied. answered is set while it
	// is valid.
	outcome  Outcome
	answered bool
	// begunAt is when the order was confirmed, or the term began, and returned is set once
	// a later list has shown the machine up.
	begunAt  model.Instant
	returned bool
}

// Planner decides on the leader how the waves are carried out. Use NewPlanner.
type Planner struct {
	st   *State
	conf Config
	term uint64
	// tracks has the machines of running waves.
	tracks map[place]*track
	// calling is set while a Read or an Order is in progress, and proposing while a
	// Propose is.
	calling, proposing  bool
	nextRead, nextOrder model.Instant
	list                list
	// cursors has the position of the machine of each wave at which the next pick begins.
	cursors map[Number]int
	// upkeep is the longest maintenance observed, from the confirmation to the first list
	// that showed the machine up; 0 before the first.
	upkeep time.Duration
	// draining is set while the last Drain was not empty.
	draining bool
	// active is set from the first tick with a running wave to the first without one.
	active  bool
	effects []Effect
}

// NewPlanner returns a planner of the waves in st, which its owner changes only between steps.
func NewPlanner(st *State, conf Config) *Planner {
	return &Planner{st: st, conf: conf}
}

// Active reports whether the planner has to be stepped with ticks.
func (pl *Planner) Active() bool { return pl.active || pl.st.Running() > 0 }

// Step handles one input and returns the effects in the order in which to carry them out.
func (pl *Planner) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Began:
		pl.began(now, msg.Term)
	case Page:
		if msg.Term == pl.term {
			pl.calling = false
			pl.page(now, &msg)
		}
	case Answered:
		if msg.Term == pl.term {
			pl.calling = false
			pl.answered(now, &msg)
		}
	case ProposalEnded:
		if msg.Term == pl.term {
			pl.proposing = false
		}
	case Tick:
		pl.tick(now, &msg)
	}
	out := pl.effects
	pl.effects = nil
	return out
}

// began starts a term. Orders of earlier leaders may still be carried out.
func (pl *Planner) began(now model.Instant, term uint64) {
	*pl = Planner{st: pl.st, conf: pl.conf, term: term, nextRead: now.Add(rateWindow), nextOrder: now.Add(rateWindow), tracks: map[place]*track{}, cursors: map[Number]int{}}
	for _, wa := range pl.waves() {
		for i := range wa.machines {
			if mac := &wa.machines[i]; mac.Phase == Ordered || mac.Phase == Begun {
				tr := pl.track(wa, mac.ID)
				tr.unansweredAt, tr.begunAt = now, now
			}
		}
	}
	// No start may be planned on a machine that an earlier leader has ordered.
	pl.drain(pl.ordered(map[MachineID]bool{}))
}

// waves returns the running waves, ordered by number.
func (pl *Planner) waves() []*wave {
	out := make([]*wave, 0, len(pl.st.running))
	for _, num := range pl.st.running {
		out = append(out, pl.st.waves[num])
	}
	return out
}

func (pl *Planner) track(wa *wave, id MachineID) *track {
	key := place{wa.spec.Number, id}
	tr, ok := pl.tracks[key]
	if !ok {
		tr = &track{}
		pl.tracks[key] = tr
	}
	return tr
}

// answered records the outcome of an order.
func (pl *Planner) answered(now model.Instant, msg *Answered) {
	tr, ok := pl.tracks[place{msg.Wave, msg.Machine}]
	if !ok {
		return
	}
	switch msg.Outcome {
	case Done:
		tr.begunAt, tr.outcome, tr.answered = now, Done, true
	case Refused:
		tr.retryAt, tr.outcome, tr.answered = now.Add(retryDelay), Refused, true
	case Limited:
		tr.retryAt, pl.nextOrder = now.Add(retryDelay), now.Add(rateWindow)
	case Unknown:
		tr.retryAt, tr.unansweredAt, tr.answered = now.Add(retryDelay), now, false
		pl.record("upkeepUnanswered", msg.Wave, msg.Machine, "")
	}
}

// tick decides what is next.
func (pl *Planner) tick(now model.Instant, msg *Tick) {
	if pl.st.Running() == 0 {
		pl.rest()
		return
	}
	pl.active = true
	ops := pl.marks()
	drained, next := pl.choose(now, msg)
	if !pl.proposing {
		if ops = append(ops, next...); len(ops) > 0 {
			pl.proposing = true
			pl.effects = append(pl.effects, Propose{Term: pl.term, Ops: ops})
		}
	}
	pl.drain(drained)
	pl.call(now, msg.Fleet)
}

// rest ends the work on waves until the next one is accepted. The rates stay in force.
func (pl *Planner) rest() {
	pl.drain(nil)
	pl.active, pl.list, pl.upkeep = false, list{}, 0
	clear(pl.tracks)
	clear(pl.cursors)
}

// drain replaces the workers that are drained. It is repeated while there are some, since
// what may be stopped changes.
func (pl *Planner) drain(workers []Drained) {
	if len(workers) > 0 || pl.draining {
		pl.effects = append(pl.effects, Drain{Workers: workers})
	}
	pl.draining = len(workers) > 0
}

// marks returns the operations for what has become known since they were last proposed.
func (pl *Planner) marks() []Op {
	var ops []Op
	for _, wa := range pl.waves() {
		for i := range wa.machines {
			if mac := &wa.machines[i]; mac.Phase == Waiting || mac.Phase == Ordered {
				if next := pl.known(wa, mac); next != mac.Phase {
					ops = append(ops, Mark(wa.spec.Number, Machine{ID: mac.ID, Phase: next, Worker: mac.Worker}))
				}
			}
		}
	}
	return ops
}

// known returns the phase that a machine has by now.
func (pl *Planner) known(wa *wave, mac *Machine) Phase {
	tr := pl.tracks[place{wa.spec.Number, mac.ID}]
	switch {
	case tr != nil && tr.answered && tr.outcome == Done && mac.Phase == Ordered:
		return Begun
	case pl.list.gone(mac.ID):
		return Gone
	case tr != nil && tr.answered && tr.outcome == Refused && mac.Phase == Ordered && tr.unansweredAt == 0:
		// Another machine may go first.
		return Waiting
	}
	return mac.Phase
}

// call makes the next call if one is due. A list that is out of date goes first.
func (pl *Planner) call(now model.Instant, fleet Fleet) {
	if pl.calling {
		return
	}
	if !now.Before(pl.nextRead) && pl.list.due(now) {
		pl.calling, pl.nextRead = true, now.Add(interval(pl.conf.ReadsPerSecond))
		pl.effects = append(pl.effects, Read{Term: pl.term, Token: pl.list.begin(now)})
		return
	}
	if now.Before(pl.nextOrder) || !pl.list.fresh(now) {
		return
	}
	for _, wa := range pl.waves() {
		for i := range wa.machines {
			if mac := &wa.machines[i]; mac.Phase == Ordered && pl.mayOrder(now, wa, mac, fleet) {
				pl.calling, pl.nextOrder = true, now.Add(interval(pl.conf.OrdersPerSecond))
				pl.track(wa, mac.ID).answered = false
				pl.effects = append(pl.effects, Order{Term: pl.term, Wave: wa.spec.Number, Machine: mac.ID})
				pl.record("upkeepOrdered", wa.spec.Number, mac.ID, "")
				return
			}
		}
	}
}

// mayOrder reports whether the order for a machine may be sent now. The worker of the machine
// may have changed since the order was decided.
func (pl *Planner) mayOrder(now model.Instant, wa *wave, mac *Machine, fleet Fleet) bool {
	tr := pl.track(wa, mac.ID)
	if now.Before(tr.retryAt) || tr.answered && (tr.outcome == Done || tr.unansweredAt == 0) {
		// Or the answer isn't in the log yet.
		return false
	}
	li, ok := pl.list.machines[mac.ID]
	return ok && fleet.Load(li.Worker).Bounded == 0 && fleet.Load(mac.Worker).Bounded == 0
}

func (pl *Planner) record(kind string, num Number, id MachineID, reason string) {
	pl.effects = append(pl.effects, RecordEvent{Kind: kind, Wave: num, Machine: id, Reason: reason})
}

// page adds a page to the list. Once the list is complete, it tells which machines are up
// again and which unanswered orders were not carried out.
func (pl *Planner) page(now model.Instant, msg *Page) {
	if msg.Failed {
		pl.list.failed(now)
		return
	}
	if !pl.list.add(now, msg) {
		return
	}
	for _, wa := range pl.waves() {
		for i := range wa.machines {
			mac := &wa.machines[i]
			tr, ok := pl.tracks[place{wa.spec.Number, mac.ID}]
			if !ok {
				continue
			}
			if li, ok := pl.list.machines[mac.ID]; ok && li.State == Up {
				pl.seenUp(now, mac, tr)
			}
		}
	}
}

// seenUp records that the list shows a machine up.
func (pl *Planner) seenUp(now model.Instant, mac *Machine, tr *track) {
	if tr.unansweredAt > 0 && pl.list.begun.Sub(tr.unansweredAt) >= settleTime {
		tr.unansweredAt = 0
	}
	if mac.Phase != Begun || tr.returned || !tr.begunAt.Before(pl.list.begun) {
		return
	}
	tr.returned = true
	pl.upkeep = max(pl.upkeep, now.Sub(tr.begunAt))
}

// down counts the machines of a wave that may be down for their maintenance.
func (pl *Planner) down(wa *wave) int {
	num := 0
	for i := range wa.machines {
		mac := &wa.machines[i]
		tr := pl.tracks[place{wa.spec.Number, mac.ID}]
		switch {
		case mac.Phase == Ordered,
			mac.Phase == Begun && (tr == nil || !tr.returned),
			// By the order of another wave.
			mac.Phase != Gone && pl.list.machines[mac.ID].State == Maintained:
			num++
		}
	}
	return num
}

// workersOf returns the workers that a machine is known to have.
func (pl *Planner) workersOf(mac *Machine) []model.WorkerID {
	var out []model.WorkerID
	for _, id := range []model.WorkerID{mac.Worker, pl.list.machines[mac.ID].Worker} {
		if id != "" && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
