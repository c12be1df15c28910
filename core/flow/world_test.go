package flow

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// world runs planners of several VMs against workers in virtual time. Its log
// commits in order; its workers follow the rules of the worker protocol. The
// oracle is what the workers see.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   model.Instant
	queue []happening
	order uint64
	vms   []*vmSim
	// log holds the committed operations, in entries.
	log     [][]Op
	workers []*workerSim
	polls   map[uint64]*beatSim
	poll    uint64
	term    uint64
	lead    *vmSim
	// runs counts the live runs of a task on workers that are up.
	live map[TaskID]map[*workerSim]int
	// acked has the tasks whose success was acknowledged.
	acked  map[TaskID]bool
	faults []string
	// stale is the share of reports that arrive seconds late, lost that of
	// answers that do not arrive.
	stale, lost float64
	starts      int
}

type happening struct {
	at    model.Instant
	order uint64
	run   func()
}

type vmSim struct {
	st      State
	pl      *Planner
	applied int
	leading bool
	until   model.Instant
	flight  bool
	term    uint64
}

type runSim struct {
	attempt int
	ends    model.Instant
	outcome Outcome
}

type workerSim struct {
	id       int
	born     int64
	up       bool
	sequence uint64
	token    uint64
	lease    model.Instant
	runs     map[TaskID]*runSim
	// floor has the highest attempt that was stopped or ended.
	floor  map[TaskID]int
	ended  []EndReport
	number uint64
	waits  *beatSim
	target int
	next   model.Instant
}

type beatSim struct {
	wk       *workerSim
	born     int64
	sent     model.Instant
	sequence uint64
	vm       *vmSim
}

func newWorld(t *testing.T, seed uint64, vms, workers int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), polls: map[uint64]*beatSim{},
		live: map[TaskID]map[*workerSim]int{}, acked: map[TaskID]bool{},
	}
	for range vms {
		vm := &vmSim{}
		vm.pl = NewPlanner(&vm.st, Bounds{})
		w.vms = append(w.vms, vm)
	}
	for i := range workers {
		w.workers = append(w.workers, &workerSim{id: i})
		w.boot(w.workers[i])
		w.at(w.after(100), func() { w.beat(w.workers[i]) })
	}
	w.elect(w.vms[0])
	w.at(w.after(1), w.tick)
	return w
}

// after returns a time up to so many milliseconds from now.
func (w *world) after(ms int) model.Instant {
	return w.now.Add(time.Duration(w.rng.IntN(ms*1000)+1) * time.Microsecond)
}

func (w *world) at(at model.Instant, run func()) {
	w.order++
	w.queue = append(w.queue, happening{at: at, order: w.order, run: run})
}

func (w *world) run(until model.Instant) {
	for {
		best := -1
		for i, ha := range w.queue {
			if best < 0 || ha.at < w.queue[best].at || ha.at == w.queue[best].at && ha.order < w.queue[best].order {
				best = i
			}
		}
		if best < 0 || w.queue[best].at > until {
			w.now = until
			return
		}
		ha := w.queue[best]
		w.queue = slices.Delete(w.queue, best, best+1)
		w.now = max(w.now, ha.at)
		ha.run()
	}
}

func (w *world) wall() int64 { return time.Duration(w.now).Milliseconds() }

func (w *world) tick() {
	for _, vm := range w.vms {
		if vm.leading {
			vm.until = w.now.Add(500 * time.Millisecond)
			w.step(vm, Tick{LeadUntil: vm.until, Wall: w.wall()})
		}
	}
	w.at(w.now.Add(TickEvery), w.tick)
}

// elect makes a VM the leader after the lease of the last one.
func (w *world) elect(vm *vmSim) {
	w.catchUp(vm)
	w.term++
	vm.leading, vm.term, vm.until, w.lead = true, w.term, w.now.Add(500*time.Millisecond), vm
	w.step(vm, TookOver{Term: w.term, LeadUntil: vm.until, Wall: w.wall()})
}

// change lets the leader fail. Its proposal under way is lost or not.
func (w *world) change() {
	old := w.lead
	old.leading = false
	w.lead = nil
	next := w.vms[w.rng.IntN(len(w.vms))]
	w.at(w.now.Add(2*time.Second), func() {
		w.step(old, SteppedDown{})
		old.flight = false
		w.elect(next)
	})
}

func (w *world) catchUp(vm *vmSim) {
	for vm.applied < len(w.log) {
		ops := w.log[vm.applied]
		vm.applied++
		for _, op := range ops {
			verdict := vm.st.Apply(op)
			w.step(vm, Applied{Op: op, Verdict: verdict})
		}
	}
}

func (w *world) commit(ops []Op) {
	w.log = append(w.log, ops)
	for _, vm := range w.vms {
		if vm.leading {
			w.catchUp(vm)
		}
	}
}

func (w *world) step(vm *vmSim, in Input) {
	for _, eff := range vm.pl.Step(w.now, in) {
		switch val := eff.(type) {
		case Propose:
			w.propose(vm, val.Ops)
		case Answer:
			w.answer(val)
		}
	}
}

func (w *world) propose(vm *vmSim, ops []Op) {
	term := vm.term
	w.at(w.after(15), func() {
		// A leader that failed may have replicated its last proposal.
		keep := vm.leading && vm.term == term
		if !keep && w.lead == nil && w.rng.IntN(2) == 0 {
			w.log = append(w.log, ops)
			return
		}
		if !keep {
			return
		}
		w.commit(ops)
		w.step(vm, Settled{Term: term, Applied: true})
	})
}

func (w *world) boot(wk *workerSim) {
	wk.born = w.wall() + 1
	wk.up, wk.sequence, wk.token, wk.ended, wk.number = true, 0, 0, nil, 0
	wk.runs, wk.floor, wk.waits = map[TaskID]*runSim{}, map[TaskID]int{}, nil
}

func (w *world) crash(wk *workerSim) {
	if !wk.up {
		return
	}
	wk.up = false
	for id := range wk.runs {
		w.gone(id, wk)
	}
	wk.runs = nil
	w.at(w.now.Add(time.Second), func() { w.boot(wk); w.beat(wk) })
}

func (w *world) gone(id TaskID, wk *workerSim) { delete(w.live[id], wk) }

// advance ends the runs that are over.
func (w *world) advance(wk *workerSim) {
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		switch {
		case w.now >= wk.lease:
			w.end(wk, id, ru, Lost)
		case w.now >= ru.ends:
			w.end(wk, id, ru, ru.outcome)
		}
	}
}

// tasks returns the tasks that run, in a fixed order.
func (wk *workerSim) tasks() []TaskID {
	return slices.SortedFunc(maps.Keys(wk.runs), func(a, b TaskID) int { return cmp.Compare(a.String(), b.String()) })
}

func (w *world) end(wk *workerSim, id TaskID, ru *runSim, oc Outcome) {
	wk.number++
	wk.ended = append(wk.ended, EndReport{Number: wk.number, Task: id, Attempt: ru.attempt, Outcome: oc})
	wk.floor[id] = max(wk.floor[id], ru.attempt)
	delete(wk.runs, id)
	w.gone(id, wk)
}

func (w *world) beat(wk *workerSim) {
	if !wk.up || wk.waits != nil {
		return
	}
	w.advance(wk)
	wk.sequence++
	if w.rng.Float64() < 0.1 {
		wk.target = w.rng.IntN(len(w.vms))
	}
	be := &beatSim{wk: wk, born: wk.born, sent: w.now, sequence: wk.sequence, vm: w.vms[wk.target]}
	wk.waits = be
	msg := Beat{
		Life: NewLife(model.WorkerID(fmt.Sprint("w", wk.id)), wk.born), Sequence: wk.sequence, Service: "svc", Centre: "a",
		Address: fmt.Sprint("10.0.0.", wk.id, ":80"), Size: model.NewResources(8000, 8000, 0), Ended: slices.Clone(wk.ended),
	}
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		msg.Runs = append(msg.Runs, RunReport{Task: id, Attempt: ru.attempt, Percent: 50})
	}
	arrive := w.after(2)
	if w.rng.Float64() < w.stale {
		arrive = w.after(5000)
	}
	w.at(arrive, func() { w.receive(be, msg) })
	w.at(w.now.Add(time.Second), func() {
		if wk.waits == be {
			wk.waits, wk.target = nil, w.rng.IntN(len(w.vms))
			w.beat(wk)
		}
	})
}

// receive hands a report to the leader, to which other VMs forward it.
func (w *world) receive(be *beatSim, msg Beat) {
	vm := w.lead
	if vm == nil {
		return
	}
	w.poll++
	msg.Poll = w.poll
	w.polls[w.poll] = be
	w.step(vm, msg)
}

func (w *world) answer(ans Answer) {
	be := w.polls[ans.Poll]
	delete(w.polls, ans.Poll)
	if be == nil || w.rng.Float64() < w.lost {
		return
	}
	w.at(w.after(2), func() { w.obey(be, ans) })
}

// obey lets a worker carry out an answer that it still waits for.
func (w *world) obey(be *beatSim, ans Answer) {
	wk := be.wk
	if wk.waits != be || wk.born != be.born || !wk.up || w.now.Sub(be.sent) > time.Second {
		return
	}
	wk.waits = nil
	w.at(w.now.Add(max(ans.Again, 20*time.Millisecond)), func() { w.beat(wk) })
	if ans.Refused || ans.Term < wk.token {
		return
	}
	wk.token = ans.Term
	w.advance(wk)
	if ans.Hold > 0 {
		wk.lease = max(wk.lease, be.sent.Add(ans.Hold))
	}
	wk.ended = slices.DeleteFunc(wk.ended, func(er EndReport) bool {
		if er.Number <= ans.Acknowledged && er.Outcome == Succeeded {
			w.acked[er.Task] = true
		}
		return er.Number <= ans.Acknowledged
	})
	for _, ord := range ans.Stops {
		wk.floor[ord.Task] = max(wk.floor[ord.Task], ord.Attempt)
		if ru := wk.runs[ord.Task]; ru != nil && ru.attempt <= ord.Attempt {
			w.end(wk, ord.Task, ru, Stopped)
		}
	}
	if ans.Hold == 0 {
		return
	}
	for _, ord := range ans.Starts {
		w.begin(wk, ord)
	}
}

func (w *world) begin(wk *workerSim, ord StartOrder) {
	if wk.runs[ord.Task] != nil || ord.Attempt <= wk.floor[ord.Task] {
		return
	}
	w.starts++
	if w.acked[ord.Task] {
		w.faults = append(w.faults, fmt.Sprintf("%v: %v starts after its success was acknowledged", w.now, ord.Task))
	}
	ru := &runSim{attempt: ord.Attempt, ends: w.after(3000), outcome: Succeeded}
	if w.rng.IntN(20) == 0 {
		ru.outcome = Failed
	}
	wk.runs[ord.Task] = ru
	if w.live[ord.Task] == nil {
		w.live[ord.Task] = map[*workerSim]int{}
	}
	w.live[ord.Task][wk] = ord.Attempt
	for other := range w.live[ord.Task] {
		if other != wk && other.up && w.now < other.lease {
			w.faults = append(w.faults, fmt.Sprintf("%v: %v runs as %v", w.now, ord.Task, w.live[ord.Task]))
		}
	}
}

func (w *world) submit(id string, steps ...StepSpec) {
	jo, err := NewJob(JobSpec{
		ID: model.JobID(id), Queue: "q", Service: "svc", Steps: steps, Attempts: 50, Factor: 2, Target: time.Second, Accepted: w.wall(),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.commit([]Op{Submit(jo)})
}

func (w *world) check(seed uint64) {
	w.t.Helper()
	for _, fa := range w.faults {
		w.t.Errorf("seed %d: %s", seed, fa)
	}
}
