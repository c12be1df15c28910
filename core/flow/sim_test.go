package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/share"
)

// simLeaderLease is the leader lease of a simulated leader.
const simLeaderLease = 500 * time.Millisecond

// simulation runs planners of several VMs against workers in virtual time. Its
// log commits operations in order, and its workers send heartbeats and follow
// orders and leases as real ones do. It records a violation if a task runs on
// two workers at once, or starts after its success was acknowledged, or brings a
// worker over its capacity.
type simulation struct {
	t   *testing.T
	rng *rand.Rand
	// lag chooses what concerns VMs that do not lead.
	lag       *rand.Rand
	now       model.Instant
	queue     simQueue
	lastOrder uint64
	vms       []*vmSim
	// log holds the committed operations, by log entry.
	log     [][]Op
	workers []*workerSim
	// openHeartbeats holds the heartbeats that planners have not answered, by
	// their HeartbeatID.
	openHeartbeats  map[uint64]*heartbeatSim
	lastHeartbeatID uint64
	// openLeaves holds what happens once a planner has answered the announcement of an
	// exit, by LeaveID.
	openLeaves  map[uint64]func()
	lastLeaveID uint64
	term        uint64
	// specs holds the steps of the submitted jobs.
	specs map[model.JobID][]StepSpec
	// workspaceOf returns the owner of a job; nil for none.
	workspaceOf func(id model.JobID) model.WorkspaceID
	// terms holds the terms that are set before a log entry is applied.
	terms map[int]map[model.WorkspaceID]share.Terms
	// applied is told about each operation that a VM applies; nil for none.
	applied func(vm *vmSim, op Op, verdict Verdict)
	// leader is nil while a failed leader has no successor.
	leader *vmSim
	// formerLeaseEnd is when the lease of the leader that failed last ends.
	formerLeaseEnd model.Instant
	// liveAttempts holds, for each task, the workers that run it and the number
	// of the attempt there.
	liveAttempts map[TaskID]map[*workerSim]int
	// acknowledged is the set of tasks whose success was acknowledged.
	acknowledged map[TaskID]bool
	// listed holds when a heartbeat first listed the success of a task; nil if such a success
	// doesn't count before it is acknowledged.
	listed map[TaskID]model.Instant
	// maxDelay is the longest time that a message takes on its way; 0 means 2 ms.
	maxDelay time.Duration
	// outage is the set of data centres that are out of service.
	outage     map[model.CentreID]bool
	violations []string
	// lateShare is the fraction of heartbeats that arrive up to 5 s late,
	// lostShare that of answers that never arrive, and repeatedShare that of
	// heartbeats that arrive twice.
	lateShare, lostShare, repeatedShare float64
	// minCommit and maxCommit bound the time from a proposal to its commit.
	minCommit, maxCommit time.Duration
	// unknownShare is the fraction of proposals whose outcome stays unknown to the
	// leader: half of them are committed up to 2 s later, the others never.
	unknownShare float64
	// lastCommit is when the last proposal is committed. Later ones are not committed
	// before.
	lastCommit model.Instant
	// minStop and maxStop bound the time from a stop order to the end of the run.
	minStop, maxStop time.Duration
	// chooseRun chooses the duration and the outcome of a run. Runs with duration
	// 0 go on until they are stopped.
	chooseRun func(wk *workerSim, id TaskID) (time.Duration, Outcome)
	// observer is told about the runs on workers; nil for none.
	observer simObserver
	// starts counts the start orders that workers carried out.
	starts int
}

// simObserver is told about the runs on the workers of a simulation.
type simObserver interface {
	started(id TaskID)
	ended(id TaskID)
	// recorded gets the events of the planners.
	recorded(ev RecordEvent)
}

// simEvent is a function that runs at a time. order is the number of the call
// that scheduled it.
type simEvent struct {
	at    model.Instant
	order uint64
	run   func()
}

// simQueue is a heap of events, ordered by time and then by order.
type simQueue []simEvent

func (qu simQueue) Len() int { return len(qu) }

func (qu simQueue) Less(i, j int) bool {
	return qu[i].at < qu[j].at || qu[i].at == qu[j].at && qu[i].order < qu[j].order
}

func (qu simQueue) Swap(i, j int) { qu[i], qu[j] = qu[j], qu[i] }

// Push appends an event; use heap.Push.
func (qu *simQueue) Push(ev any) { *qu = append(*qu, ev.(simEvent)) }

// Pop removes the last event; use heap.Pop.
func (qu *simQueue) Pop() any {
	last := len(*qu) - 1
	ev := (*qu)[last]
	(*qu)[last] = simEvent{}
	*qu = (*qu)[:last]
	return ev
}

// vmSim is a VM with a replica of the state and a planner.
type vmSim struct {
	st State
	pl *Planner
	// applied is the number of log entries applied to st.
	applied int
	// lagsUntil is the end of a time in which the VM, unless it leads, applies
	// nothing.
	lagsUntil  model.Instant
	leading    bool
	leaseUntil model.Instant
	term       uint64
}

// newSimulation returns a simulation whose workers have 8 processors, and of
// whose runs one in twenty fails.
func newSimulation(t *testing.T, seed uint64, vms, workers int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), lag: rand.New(rand.NewPCG(seed, 2)), openHeartbeats: map[uint64]*heartbeatSim{}, openLeaves: map[uint64]func(){},
		liveAttempts: map[TaskID]map[*workerSim]int{}, acknowledged: map[TaskID]bool{}, specs: map[model.JobID][]StepSpec{},
		maxCommit: 15 * time.Millisecond,
	}
	sim.chooseRun = func(*workerSim, TaskID) (time.Duration, Outcome) {
		dur := sim.between(0, 3*time.Second)
		if sim.rng.IntN(20) == 0 {
			return dur, Failed
		}
		return dur, Succeeded
	}
	for range vms {
		vm := &vmSim{}
		vm.pl = NewPlanner(&vm.st, Config{})
		sim.vms = append(sim.vms, vm)
	}
	for i := range workers {
		sim.addWorker(fmt.Sprint("w", i), fmt.Sprint("10.0.0.", i, ":80"), model.NewResources(8000, 8000, 0))
	}
	sim.elect(sim.vms[0])
	sim.at(sim.after(1), sim.tick)
	return sim
}

// after returns a random time up to ms milliseconds from now.
func (sim *simulation) after(ms int) model.Instant {
	return sim.now.Add(sim.between(0, time.Duration(ms)*time.Millisecond))
}

// between returns a random duration, more than least and at most most.
func (sim *simulation) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(sim.rng.Int64N((most-least).Microseconds())+1)*time.Microsecond
}

// at schedules a function. Functions of the same time run in the order of the
// calls.
func (sim *simulation) at(at model.Instant, run func()) {
	sim.lastOrder++
	heap.Push(&sim.queue, simEvent{at: at, order: sim.lastOrder, run: run})
}

// run runs the scheduled functions up to a time, in order.
func (sim *simulation) run(until model.Instant) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		ev := heap.Pop(&sim.queue).(simEvent)
		sim.now = max(sim.now, ev.at)
		ev.run()
	}
	sim.now = until
}

func (sim *simulation) wall() int64 { return time.Duration(sim.now).Milliseconds() }

// violated records a violation.
func (sim *simulation) violated(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", time.Duration(sim.now))+fmt.Sprintf(format, args...))
}

func (sim *simulation) tick() {
	for _, vm := range sim.vms {
		if vm.leading {
			vm.leaseUntil = sim.now.Add(simLeaderLease)
			sim.step(vm, Tick{LeaseUntil: vm.leaseUntil, Wall: sim.wall()})
		}
	}
	sim.at(sim.now.Add(TickInterval), sim.tick)
}

func (sim *simulation) step(vm *vmSim, in Input) {
	for _, eff := range vm.pl.Step(sim.now, in) {
		switch val := eff.(type) {
		case Propose:
			sim.propose(vm, val.Ops)
		case Answer:
			sim.answer(val)
		case LeaveAnswer:
			sim.answerLeave(val)
		case RecordEvent:
			if val.Kind == "recordRepaired" {
				sim.violations = append(sim.violations, fmt.Sprintf("at %v: record of %s on %s repaired: %v", time.Duration(sim.now), val.Task, val.Worker, val.Fields))
			}
			if sim.observer != nil {
				sim.observer.recorded(val)
			}
		}
	}
}

// receive delivers a heartbeat to the leader, to which the other VMs forward
// it.
func (sim *simulation) receive(hb *heartbeatSim, msg Heartbeat) {
	vm := sim.leader
	if vm == nil {
		return
	}
	sim.lastHeartbeatID++
	msg.HeartbeatID = sim.lastHeartbeatID
	sim.openHeartbeats[sim.lastHeartbeatID] = hb
	sim.step(vm, msg)
}

func (sim *simulation) answer(ans Answer) {
	hb := sim.openHeartbeats[ans.HeartbeatID]
	delete(sim.openHeartbeats, ans.HeartbeatID)
	if hb == nil || sim.rng.Float64() < sim.lostShare || sim.now < hb.worker.unansweredUntil {
		return
	}
	sim.at(sim.after(2), func() { sim.handleAnswer(hb, ans) })
}

// submit submits a job of priority 0 and commits it at once.
func (sim *simulation) submit(id string, steps ...StepSpec) {
	sim.commit([]Op{sim.newJob(model.JobID(id), 0, steps)})
}

// newJob returns the operation that submits a job.
func (sim *simulation) newJob(id model.JobID, priority int, steps []StepSpec) Op {
	jo, err := NewJob(JobSpec{
		ID: id, Queue: "q", Service: "svc", Steps: steps, Priority: priority, MaxFailures: 50, ObjectiveFactor: 2, ObjectiveBase: time.Second,
		AcceptedMs: sim.wall(),
	})
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.specs[id] = steps
	if sim.workspaceOf != nil {
		jo.spec.Workspace = sim.workspaceOf(id)
	}
	return Submit(jo)
}

// reportViolations fails the test for each violation.
func (sim *simulation) reportViolations(seed uint64) {
	sim.t.Helper()
	for _, violation := range sim.violations {
		sim.t.Errorf("seed %d: %s", seed, violation)
	}
}
