package cell

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"guavarail/core/admit"
	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/waves"
	"guavarail/io/disk"
	"guavarail/io/group"
	"guavarail/io/host"
	"guavarail/io/limit"
	"guavarail/io/lines"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// groupName is the name of the cell's replication group.
	groupName = "cell"
	// unknownVoter is the placeholder voter in the member list of a VM that has not
	// joined the cell yet.
	unknownVoter model.VMID = "-"
	// membersInterval is the time between two checks whether the replication group
	// needs a membership change.
	membersInterval = 200 * time.Millisecond
	// changeTimeout bounds a membership change.
	changeTimeout = 3 * time.Second
)

type groupRef = group.Ref[*cell.State, cell.Command, cell.Result, cell.Snapshot]

// roleStatus is the role of this VM in the replication group. It is not modified after
// it was published.
type roleStatus struct {
	// leading means that this VM leads, and leased that it also holds the lease and
	// its planner has started the term.
	leading, leased bool
	// leader is empty if no leader is known.
	leader model.VMID
	term   uint64
}

// member is this VM's member of the replication group, which replicates the state
// of the cell.
type member struct {
	vm     *VM
	ref    groupRef
	diskID quorum.DiskID
	// failed is closed when the replica has stopped voting and acknowledging until it is
	// started again.
	failed chan struct{}
	// state is the replicated state of the cell. The group's actor owns it, and also
	// planner, replies, leaves, leading, repair, repairing, termCtx and cancelTerm.
	state   *cell.State
	planner *flow.Planner
	// replies has the channel for the answer to each pending heartbeat, by HeartbeatID.
	replies map[uint64]chan<- result[flow.Answer]
	// leaves is the same for announced exits, by LeaveID.
	leaves map[uint64]chan<- error
	// leading is true from the first tick under a new leader lease until this VM steps
	// down.
	leading bool
	// repair chooses the membership changes. repairing is true from its start in a
	// term until this VM steps down. It may start before the lease, which needs a
	// committed entry, and so enough voters.
	repair    cell.Repair
	repairing bool
	// lastOutcome is the last recorded outcome of a membership change. Only the
	// goroutine of maintainMembers uses it.
	lastOutcome changeOutcome
	// dropped remembers the jobs dropped after their retention. unknownJobs,
	// configurationReads and rejectedKeys bound the events of these reads. The group's
	// actor owns all four.
	dropped                                       droppedJobs
	unknownJobs, configurationReads, rejectedKeys lines.Limiter
	// submissions are the jobs that callers submit. The actor owns it.
	submissions submissions
	// jobMemory bounds the memory of the jobs in the state.
	jobMemory *limit.Jobs
	// load watches how far the group's actor is behind. The actor owns it.
	load load
	// upkeep carries out the maintenance waves.
	upkeep upkeep
	// work measures the time in the planner. The actor owns it.
	work leaderWork
	// lastHeartbeatID is the HeartbeatID of the newest heartbeat.
	lastHeartbeatID atomic.Uint64
	// status and members are the role of this VM and the members of the group, for
	// goroutines other than the actor's. They are replaced as a whole.
	status  atomic.Pointer[roleStatus]
	members atomic.Pointer[quorum.Members]
	// proposals passes the planner's latest proposal to runProposals.
	proposals *latest[proposal]
	// cancelTerm cancels the proposals of the current term.
	cancelTerm context.CancelFunc
	// termCtx is the context of the proposals of the current term; nil before the
	// first term in which this VM leads.
	termCtx context.Context
}

// startMember opens the data directory of vm and starts its member. rewrite is set after
// the directory failed. The returned function stops the member and closes the directory.
func startMember(ctx context.Context, vm *VM, rewrite bool) (*member, func(), error) {
	dir, _ := vm.settings.DataDir()
	fls, closeFiles, err := disk.Open(disk.Config{
		Dir: filepath.Join(dir, groupName), VM: vm.self, Group: groupName, Logger: vm.log.Named("disk"),
		FS: vm.fs, Rewrite: rewrite,
	})
	if err != nil {
		return nil, closeFiles, err
	}
	sta := &cell.State{}
	mem := &member{
		vm: vm, diskID: fls.Disk(), failed: make(chan struct{}), state: sta, replies: map[uint64]chan<- result[flow.Answer]{}, leaves: map[uint64]chan<- error{}, proposals: newLatest[proposal](),
		planner: flow.NewPlanner(sta.Jobs(), flow.Config{
			LeaseDuration: vm.settings.LeaseDuration(), JobRetention: vm.settings.JobRetention(), PaceDelay: vm.settings.PaceDelay(), StopTime: vm.settings.StopTime(),
			Admission: vm.settings.Admission(),
		}),
		upkeep: newUpkeep(sta.Waves(), waves.Config{ReadsPerSecond: vm.settings.PlatformReads(), OrdersPerSecond: vm.settings.PlatformOrders()}),
		repair: cell.Repair{Voters: vm.settings.Voters(), Centre: vm.settings.Centre()},

		jobMemory: limit.NewJobs(vm.memoryMB),
	}
	mem.status.Store(&roleStatus{})
	mem.cancelTerm = func() {}
	mem.members.Store(&quorum.Members{})
	initialVoters, learners := vm.bootstrapMembers()
	ref, stopGroup, err := group.New(group.Config[*cell.State, cell.Command, cell.Result, cell.Snapshot]{
		Group: groupName, Self: vm.self, Voters: initialVoters, Learners: learners, MinCopies: vm.settings.MinCopies(), Replica: sta,
		Commands: wire.CellCommands{}, Snapshots: wire.CellSnapshots{}, Store: fls,
		Sender: vm.hub, Clock: vm.clock, Seed: randomSeed(vm.self), System: vm.sys, OnEvent: vm.rec.Record,
		OnApply: mem.applied, OnRole: mem.roleChanged,
	})
	if err != nil {
		closeFiles()
		return nil, func() {}, err
	}
	mem.ref = ref
	peer.Handle(vm.mux, ref.Deliver)
	peer.HandleRequest(vm.mux, mem.answerHello)
	ctx, cancel := context.WithCancel(ctx)
	waitUpkeep := mem.startUpkeep(ctx)
	proposalsDone := make(chan struct{})
	go mem.runProposals(ctx, proposalsDone)
	stopTicks := host.Every(ctx, flow.TickInterval, mem.tick)
	stopMembers := host.Every(ctx, membersInterval, mem.maintainMembers)
	return mem, func() {
		stopMembers()
		stopTicks()
		cancel()
		<-proposalsDone
		waitUpkeep()
		stopGroup()
		closeFiles()
	}, nil
}

// leased reports whether this VM leads under its lease, as of the last tick or
// change of role.
func (mem *member) leased() bool { return mem.status.Load().leased }

// roleChanged ends the planner's term if this VM no longer leads, and publishes the new
// role. It runs on the group's actor.
func (mem *member) roleChanged(rol quorum.Role) {
	if !rol.Leading() {
		mem.leading, mem.repairing = false, false
		mem.submissions = submissions{}
		mem.jobMemory.StepDown()
		mem.cancelTerm()
		mem.step(mem.vm.clock(), flow.SteppedDown{})
	}
	if rol.Failed() && !mem.hasFailed() {
		close(mem.failed)
	}
	mem.publish(rol)
}

// hasFailed reports whether the replica has stopped voting and acknowledging.
func (mem *member) hasFailed() bool {
	select {
	case <-mem.failed:
		return true
	default:
		return false
	}
}

// publish makes the role readable from other goroutines.
func (mem *member) publish(rol quorum.Role) {
	next := roleStatus{leading: rol.Leading(), leased: rol.Leased() && mem.leading, leader: rol.Leader(), term: rol.Term()}
	if *mem.status.Load() != next {
		mem.status.Store(&next)
	}
}

// tick posts a tick of the planner to the group's actor. The first one under a new
// leader lease starts the term of the planner, and the first one as leader that of
// the membership changes. A tick that waits is replaced by the next.
func (mem *member) tick(ctx context.Context) {
	posted := mem.vm.clock()
	run := func(tur group.Turn, sta *cell.State) { mem.runTick(ctx, posted, tur, sta) }
	it := admit.NewItem[string](admit.Control, posted, group.NewWork(run, func(error) {}))
	mem.ref.Enqueue(it.WithKey("tick", uint64(posted)))
}

// runTick handles a tick that was posted at the given time.
func (mem *member) runTick(ctx context.Context, posted model.Instant, tur group.Turn, sta *cell.State) {
	now, rol := tur.Now(), tur.Role()
	if evt, ok := mem.load.observe(tur); ok {
		mem.vm.RecordEvent(evt)
	}
	if rol.Leading() && !mem.repairing {
		mem.repairing = true
		mem.repair.Start(now)
	}
	mem.vm.setLimits(sta.Document().Limits())
	tic := mem.planTick(tur)
	switch {
	case rol.Leased() && !mem.leading:
		mem.leading = true
		mem.termCtx, mem.cancelTerm = context.WithCancel(ctx)
		mem.step(now, flow.Outage{Centres: sta.Out()})
		mem.step(now, flow.Services{Names: sta.Services()})
		mem.step(now, flow.BecameLeader{
			Term: rol.Term(), PreviousTerm: rol.PreviousTerm(), FormerLeaseEnd: rol.FormerLeaseEnd(), LeaseUntil: rol.LeasedUntil(), Wall: tic.Wall,
		})
		mem.stepUpkeep(now, waves.Began{Term: rol.Term()})
	case mem.leading:
		// Heartbeats that arrived after the tick was posted may still be on their way to
		// the queue.
		tic.Posted = min(tic.Posted, posted)
		mem.step(now, tic)
		if rol.Leased() {
			mem.tickUpkeep(now)
		}
		if evt, ok := mem.work.observe(tur, sta); ok {
			mem.vm.RecordEvent(evt)
		}
	}
	mem.publish(rol)
}

// step passes an input to the planner and carries out the effects in order. It runs on
// the group's actor.
func (mem *member) step(now model.Instant, in flow.Input) {
	effs := mem.planner.Step(now, in)
	planTime.Add(mem.work.add(now, mem.vm.clock()))
	for _, eff := range effs {
		switch val := eff.(type) {
		case flow.Propose:
			// A proposal that is still pending belongs to an earlier term and is
			// replaced.
			mem.proposals.put(proposal{ctx: mem.termCtx, term: val.Term, cmd: cell.Jobs(val.Ops...)})
		case flow.Answer:
			if reply, ok := mem.replies[val.HeartbeatID]; ok {
				delete(mem.replies, val.HeartbeatID)
				reply <- newAnswer(val)
			}
		case flow.LeaveAnswer:
			if reply, ok := mem.leaves[val.LeaveID]; ok {
				delete(mem.leaves, val.LeaveID)
				reply <- newLeaveAnswer(val)
			}
		case flow.RecordEvent:
			mem.recordEvent(val)
		}
	}
}

// recordEvent counts an event of the planner by kind and adds it to the timeline.
func (mem *member) recordEvent(rec flow.RecordEvent) {
	decisions.Add(rec.Kind)
	fis := make([]event.Field, 0, len(rec.Fields))
	for _, fi := range rec.Fields {
		if fi.Key == "reason" {
			decisionReasons.Add(rec.Kind + "." + fi.Value)
		}
		fis = append(fis, event.NewField(fi.Key, fi.Value))
	}
	mem.vm.RecordEvent(event.New(event.Kind(rec.Kind), event.Subject{Job: rec.Job, Task: rec.Task, Worker: model.WorkerID(rec.Worker)}, fis...))
}
