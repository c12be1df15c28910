package waves

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavarail/core/model"
)

// upkeepTime is how long the simulated maintenance of a machine takes.
const upkeepTime = 2 * time.Second

// simMachine is a machine of the simulated platform. A worker of another name joins after each
// maintenance.
type simMachine struct {
	worker  int
	downTo  model.Instant
	begun   map[Number]bool
	bounded int
}

func (sm *simMachine) workerID(id MachineID) model.WorkerID {
	return model.WorkerID(fmt.Sprint(id, "-", sm.worker))
}

// call is a call on its way to the platform, which arrives at a time and is answered later.
type call struct {
	arrives, answers model.Instant
	eff              Effect
	in               Input
	done             bool
}

// sim is a platform and a cell of which the leader changes, in virtual time. One step, of
// which at most allowance tasks may be away, has bounded tasks on the machines.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      model.Instant
	st       *State
	pl       *Planner
	term     uint64
	fence    uint64
	machines map[MachineID]*simMachine
	ids      []MachineID
	calls    []*call
	// proposals are applied once their time has come.
	proposals []*call
	drained   map[model.WorkerID]Drained
	// away is how many bounded tasks are away, until when.
	away      []model.Instant
	allowance int
	// faults is the share of calls, in percent, that are lost, slow or refused.
	faults int
	limit  int
	// endless is how many runs on each worker end only when their machine goes down.
	endless int
	// silentUntil is until when the platform answers nothing.
	silentUntil model.Instant
	orders      []model.Instant
	reads       []model.Instant
}

func newSim(t *testing.T, seed uint64, machines, limit int) *sim {
	sm := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), st: &State{}, machines: map[MachineID]*simMachine{}, drained: map[model.WorkerID]Drained{},
		limit: limit, allowance: 1,
	}
	for i := range machines {
		id := MachineID(fmt.Sprint("m", i))
		sm.ids = append(sm.ids, id)
		sm.machines[id] = &simMachine{begun: map[Number]bool{}, bounded: sm.rng.IntN(3)}
	}
	sm.pl = NewPlanner(sm.st, Config{ReadsPerSecond: 5, OrdersPerSecond: 4})
	sm.lead()
	return sm
}

// lead makes another leader begin its term with the replicated state only.
func (sm *sim) lead() {
	sm.term++
	next := &State{}
	next.Restore(sm.st.Snapshot())
	*sm.st = *next
	sm.pl = NewPlanner(sm.st, Config{ReadsPerSecond: 5, OrdersPerSecond: 4})
	sm.drained = map[model.WorkerID]Drained{}
	sm.proposals = nil
	sm.step(Began{Term: sm.term})
}

// Load implements Fleet.
func (sm *sim) Load(id model.WorkerID) Load {
	for mid, mac := range sm.machines {
		if mac.workerID(mid) == id {
			return Load{Runs: mac.bounded + sm.endless, Bounded: mac.bounded, Stuck: mac.bounded > 0 && sm.allowance == 0, Blocked: mac.bounded > 0 && len(sm.away) >= sm.allowance}
		}
	}
	return Load{}
}

func (sm *sim) step(in Input) {
	for _, eff := range sm.pl.Step(sm.now, in) {
		switch val := eff.(type) {
		case Read:
			sm.reads = append(sm.reads, sm.now)
			sm.send(val)
		case Order:
			sm.orders = append(sm.orders, sm.now)
			sm.send(val)
		case Propose:
			sm.proposals = append(sm.proposals, &call{arrives: sm.now.Add(sm.delay(50)), eff: val})
		case Drain:
			clear(sm.drained)
			for _, dr := range val.Workers {
				sm.drained[dr.Worker] = dr
			}
		}
	}
}

func (sm *sim) delay(ms int) time.Duration {
	return time.Duration(1+sm.rng.IntN(ms)) * time.Millisecond
}

func (sm *sim) send(eff Effect) {
	ca := &call{arrives: sm.now.Add(sm.delay(100)), eff: eff}
	ca.answers = ca.arrives.Add(sm.delay(100))
	if sm.rng.IntN(100) < sm.faults {
		// Arrives after the client has given up, or the leader has changed.
		ca.arrives = sm.now.Add(sm.delay(3500))
		ca.answers = max(ca.arrives, sm.now.Add(2*time.Second))
	}
	sm.calls = append(sm.calls, ca)
}

// serve carries out a call at the platform.
func (sm *sim) serve(ca *call) {
	ca.done = true
	silent := sm.now.Before(sm.silentUntil)
	late := ca.answers.Sub(ca.arrives) <= 0
	switch val := ca.eff.(type) {
	case Read:
		pg := Page{Term: val.Term, Failed: silent || late}
		half := len(sm.ids) / 2
		part := sm.ids[:half]
		if val.Token == "" {
			pg.Next = "2"
		} else {
			part = sm.ids[half:]
		}
		for _, id := range part {
			mac := sm.machines[id]
			if mac == nil {
				continue
			}
			li := Listed{ID: id, State: Up, Worker: mac.workerID(id)}
			if sm.now.Before(mac.downTo) {
				li.State = Maintained
			}
			pg.Machines = append(pg.Machines, li)
		}
		ca.in = pg
	case Order:
		ca.in = Answered{Term: val.Term, Wave: val.Wave, Machine: val.Machine, Outcome: sm.maintain(val, silent)}
		if silent || late {
			ca.in = Answered{Term: val.Term, Wave: val.Wave, Machine: val.Machine, Outcome: Unknown}
		}
	}
}

// maintain carries out an order.
func (sm *sim) maintain(ord Order, silent bool) Outcome {
	mac := sm.machines[ord.Machine]
	if silent && sm.rng.IntN(2) == 0 || mac == nil || ord.Term < sm.fence || !silent && sm.rng.IntN(100) < sm.faults {
		return Refused
	}
	sm.fence = ord.Term
	if mac.begun[ord.Wave] {
		return Done
	}
	if sm.now.Before(mac.downTo) {
		return Refused
	}
	if mac.bounded > 0 {
		sm.t.Fatalf("%v: %s is maintained with %d bounded tasks", time.Duration(sm.now), ord.Machine, mac.bounded)
	}
	mac.begun[ord.Wave] = true
	mac.downTo, mac.worker = sm.now.Add(upkeepTime), mac.worker+1
	down := 0
	for _, other := range sm.machines {
		if sm.now.Before(other.downTo) && other.begun[ord.Wave] {
			down++
		}
	}
	if down > sm.limit {
		sm.t.Fatalf("%v: %d machines of wave %d are down, limit %d", time.Duration(sm.now), down, ord.Wave, sm.limit)
	}
	return Done
}

// moveTasks stops bounded tasks of drained workers, one at a time, and lets them start
// elsewhere.
func (sm *sim) moveTasks() {
	left := sm.away[:0]
	for _, until := range sm.away {
		if sm.now.Before(until) || !sm.place() {
			left = append(left, until)
		}
	}
	sm.away = left
	for _, id := range sm.ids {
		mac := sm.machines[id]
		if mac == nil || mac.bounded == 0 {
			continue
		}
		if _, ok := sm.drained[mac.workerID(id)]; ok && len(sm.away) < sm.allowance {
			mac.bounded--
			sm.away = append(sm.away, sm.now.Add(sm.delay(1000)))
		}
	}
}

// place starts a task on a machine that is up and not drained.
func (sm *sim) place() bool {
	for _, pos := range sm.rng.Perm(len(sm.ids)) {
		mac := sm.machines[sm.ids[pos]]
		if mac == nil || sm.now.Before(mac.downTo) {
			continue
		}
		if !sm.drains(sm.ids[pos]) {
			mac.bounded++
			return true
		}
	}
	return false
}

// drains reports whether a worker of the machine is drained. The cell knows the workers of a
// machine by their address.
func (sm *sim) drains(id MachineID) bool {
	for i := range sm.machines[id].worker + 1 {
		if _, ok := sm.drained[(&simMachine{worker: i}).workerID(id)]; ok {
			return true
		}
	}
	return false
}

// run advances the time by 20 ms at a time.
func (sm *sim) run(dur time.Duration) {
	for end := sm.now.Add(dur); sm.now.Before(end); sm.now = sm.now.Add(20 * time.Millisecond) {
		for _, pro := range sm.proposals {
			if !pro.done && !sm.now.Before(pro.arrives) {
				pro.done = true
				for _, op := range pro.eff.(Propose).Ops {
					sm.st.Apply(op)
				}
				sm.step(ProposalEnded{Term: pro.eff.(Propose).Term})
			}
		}
		for _, ca := range sm.calls {
			if !ca.done && !sm.now.Before(ca.arrives) {
				sm.serve(ca)
			}
			if ca.done && ca.in != nil && !sm.now.Before(ca.answers) {
				in := ca.in
				ca.in = nil
				sm.step(in)
			}
		}
		sm.moveTasks()
		if time.Duration(sm.now)%TickInterval == 0 && sm.pl.Active() {
			sm.step(Tick{WallMs: time.Duration(sm.now).Milliseconds(), Fleet: sm})
		}
		sm.check()
	}
}

// check fails the test if a wave is completed although a machine of it has not begun.
func (sm *sim) check() {
	for num, wa := range sm.st.waves {
		if wa.machines != nil {
			continue
		}
		for id, mac := range sm.machines {
			if !mac.begun[num] {
				sm.t.Fatalf("%v: wave %d is completed, but %s has not begun", time.Duration(sm.now), num, id)
			}
		}
	}
}

func (sm *sim) accept(num Number, dur time.Duration) {
	sm.st.Apply(Accept(Spec{Number: num, Machines: sm.ids, Limit: sm.limit, EndMs: time.Duration(sm.now.Add(dur)).Milliseconds(), Duration: dur}))
}

// wantCompleted fails the test if the wave isn't completed.
func (sm *sim) wantCompleted(num Number) {
	sm.t.Helper()
	if done, _ := sm.st.Completed(num); !done {
		sm.t.Fatalf("wave %d is not completed: %+v", num, sm.st.Snapshot())
	}
}

// Guards against more machines down than the limit, a wave that is completed too early and an
// order for a machine with tasks that have to be moved, in random schedules of lost, late and
// refused calls and of leader changes.
func TestRandomSchedulesKeepTheRules(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sm := newSim(t, seed, 2+int(seed%7), 1+int(seed%3))
			sm.faults, sm.allowance = int(seed%4)*15, 1+int(seed%2)
			sm.run(time.Second)
			sm.accept(1, 40*time.Second)
			for range 20 {
				sm.run(sm.delay(3000))
				switch sm.rng.IntN(6) {
				case 0:
					sm.lead()
				case 1:
					sm.silentUntil = sm.now.Add(sm.delay(5000))
				case 2:
					// The machine's worker crashes and another one joins.
					mac := sm.machines[sm.ids[0]]
					if mac.bounded == 0 {
						mac.worker++
					}
				}
			}
			sm.faults = 0
			sm.run(2 * time.Minute)
			sm.wantCompleted(1)
		})
	}
}

// Guards against a drain that waits for runs for so long that the maintenance ends too late.
func TestWaveEndsInTime(t *testing.T) {
	for seed := range uint64(20) {
		const dur = 20 * time.Second
		sm := newSim(t, seed, 4, 2)
		sm.endless, sm.allowance = 1, 4
		sm.run(time.Second)
		sm.accept(1, dur)
		sm.run(dur)
		sm.wantCompleted(1)
		for id, mac := range sm.machines {
			if sm.now.Before(mac.downTo) {
				t.Errorf("seed %d: %s is down after the end", seed, id)
			}
		}
	}
}
