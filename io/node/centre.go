package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"guavarail/core/centre"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/once"
	"guavarail/core/quorum"
	"guavarail/core/sched"
	"guavarail/io/admin"
	"guavarail/io/group"
	"guavarail/io/host"
	"guavarail/io/limit"
	"guavarail/io/wire"
)

const (
	// proposeTimeout bounds how long this VM waits for a proposal of the planner,
	// which makes the scheduling decisions while this VM leads the group, or for
	// a leadership transfer. After the timeout of a proposal the planner still
	// waits until the command is applied or leadership changes.
	proposeTimeout = 5 * time.Second
	// permitTimeout bounds a request for a start permit. It equals
	// permit.RenewInterval, after which the next request replaces it.
	permitTimeout = 500 * time.Millisecond
	// reportTimeout bounds how long a report waits for the answer of the
	// planner.
	reportTimeout = 3 * time.Second
	// backgroundQueueSize bounds the functions that wait for their start. The
	// planner has at most one proposal in flight, and requests permits at
	// permit.RenewInterval.
	backgroundQueueSize = 8
)

type centreGroupRef = group.Ref[*centre.State, centre.Command, centre.Result, centre.Snapshot]

// centreReplica is this VM's replica of the group of a data centre, with the
// leader logic that makes the scheduling decisions while this VM leads the group.
// It implements admin.Tasks.
type centreReplica struct {
	nod  *Node
	name model.CentreID
	ref  centreGroupRef
	// leader and pollReplies are only accessed on the actor of the group. leader
	// contains the planner of the data centre.
	leader *centre.Leader
	// pollReplies maps the number of each unanswered poll of a worker to the
	// channel that receives the answer.
	pollReplies map[uint64]chan<- sched.Answer
	// lastPollNumber is the number that was given to the latest poll.
	lastPollNumber atomic.Uint64
	// jobMemory bounds the memory of the jobs in the state.
	jobMemory *limit.Jobs
	// background queues functions that would block the actor: proposals, permit
	// requests and leadership transfers.
	background chan func(ctx context.Context)
}

// groupName returns the name of the group of a data centre.
func groupName(name model.CentreID) string { return "centre-" + string(name) }

// startCentre starts this VM's replica of the group of a data centre.
func startCentre(ctx context.Context, nod *Node, name model.CentreID, voters, learners []model.VMID) (*centreReplica, func(), error) {
	sto, err := nod.openStore(groupName(name))
	if err != nil {
		return nil, func() {}, err
	}
	sta := &centre.State{}
	cen := &centreReplica{
		nod: nod, name: name, leader: centre.NewLeader(sta), pollReplies: map[uint64]chan<- sched.Answer{},
		background: make(chan func(ctx context.Context), backgroundQueueSize),
		jobMemory:  limit.NewJobs(nod.memoryMB),
	}
	ref, stop, err := group.New(group.Config[*centre.State, centre.Command, centre.Result, centre.Snapshot]{
		Group: groupName(name), Self: nod.self, Voters: voters, Learners: learners, Replica: sta,
		Commands: wire.CentreCommands{}, Snapshots: wire.CentreSnapshots{}, Store: sto,
		Sender: nod.hub, Clock: nod.clock, Seed: nod.seed, System: nod.sys, OnEvent: nod.rec.Record,
		OnApply: func(_ uint64, cmd centre.Command, res centre.Result) {
			cen.submissionsApplied(cmd)
			cen.step(nod.clock(), centre.NewApplied(cmd, res))
		},
		OnRole: func(rol quorum.Role) {
			if !rol.Leading() {
				cen.jobMemory.StepDown()
				cen.step(nod.clock(), centre.SteppedDown{})
			}
		},
	})
	if err != nil {
		return nil, stop, err
	}
	cen.ref = ref
	nod.deliverByGroup[groupName(name)] = ref.Deliver
	ctx, cancel := context.WithCancel(ctx)
	backgroundDone := make(chan struct{})
	stopTicks := host.Every(ctx, centre.TickInterval, cen.tick)
	go cen.runBackground(ctx, backgroundDone)
	return cen, func() {
		stopTicks()
		cancel()
		<-backgroundDone
		stop()
	}, nil
}

// runBackground runs the queued functions until ctx ends, then waits for those
// in progress and closes done. Each function runs on its own goroutine, so that a
// proposal does not delay a permit request, and must bound its own run time.
func (cen *centreReplica) runBackground(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := make(chan struct{})
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			return
		case <-ended:
			running--
		case run := <-cen.background:
			running++
			go func() {
				run(ctx)
				ended <- struct{}{}
			}()
		}
	}
}

// tick passes the active preset and the end of the leader lease to the leader; a
// zero end means that this VM has no lease. If this VM leads the group of another
// data centre, it transfers the leadership.
func (cen *centreReplica) tick(context.Context) {
	vie := cen.nod.view.Load()
	if vie == nil {
		return
	}
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		var leaseUntil model.Instant
		if rol.Leased() && cen.isOwnCentre() {
			leaseUntil = rol.LeasedUntil()
		}
		cen.step(now, centre.NewTick(leaseUntil, vie.preset))
		if rol.Leased() && !cen.isOwnCentre() {
			cen.queueBackground(cen.transferLeadership)
		}
	})
}

// isOwnCentre reports whether this VM belongs to the data centre. A VM of
// another data centre only votes, as a tie-breaker, and must not lead.
func (cen *centreReplica) isOwnCentre() bool { return cen.name == cen.nod.centre }

// leads reports whether this VM leads the group under its lease.
func (cen *centreReplica) leads(ctx context.Context) bool { return leads(ctx, cen.ref) }

func (cen *centreReplica) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := cen.ref.TransferLeadership(ctx); err != nil {
		cen.nod.log.Warn("leadership transfer failed", "group", groupName(cen.name), "error", err)
	}
}

// step passes an input to the leader and executes the effects. It must be called
// on the actor of the group.
func (cen *centreReplica) step(now model.Instant, in centre.Input) {
	for _, eff := range cen.leader.Step(now, in) {
		switch val := eff.(type) {
		case centre.Propose:
			if !cen.queueBackground(func(ctx context.Context) { cen.proposeCommand(ctx, val.Command()) }) {
				cen.step(now, centre.ProposalDropped{})
			}
		case centre.RequestPermit:
			cen.queueBackground(func(ctx context.Context) { cen.requestPermit(ctx, val.Sequence()) })
		case centre.AnswerPoll:
			if reply, ok := cen.pollReplies[val.Answer().Poll()]; ok {
				delete(cen.pollReplies, val.Answer().Poll())
				reply <- val.Answer()
			}
		case centre.RecordEvent:
			cen.nod.rec.Record(val.Event())
		}
	}
}

// queueBackground queues a function that may block. It returns false if the
// queue is full. A dropped permit request or leadership transfer is repeated by
// a later tick.
func (cen *centreReplica) queueBackground(run func(ctx context.Context)) bool {
	select {
	case cen.background <- run:
		return true
	default:
		return false
	}
}

// proposeCommand proposes a command of the planner. It passes ProposalDropped to
// the leader if the command will never be applied.
func (cen *centreReplica) proposeCommand(ctx context.Context, cmd centre.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := cen.ref.Propose(ctx, cmd)
	var unknown *group.UnknownError
	if err != nil && !errors.As(err, &unknown) {
		// After an unknown outcome the command may still be applied. The
		// planner then waits until it is applied or leadership changes.
		cen.ref.Do(func(now model.Instant, _ quorum.Role, _ *centre.State) { cen.step(now, centre.ProposalDropped{}) })
	}
}

// requestPermit requests a start permit and passes the decision to the leader.
// It does nothing if the request fails, because the leader repeats it.
func (cen *centreReplica) requestPermit(ctx context.Context, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	dec, err := cen.nod.fleet.requestPermit(ctx, cen.name, sequence)
	if err != nil {
		return
	}
	cen.ref.Do(func(now model.Instant, _ quorum.Role, _ *centre.State) { cen.step(now, centre.NewPermitDecided(dec)) })
}

// proposeClaim commits a command on an idempotency key and returns its result.
func (cen *centreReplica) proposeClaim(ctx context.Context, cmd once.Command) (once.Result, error) {
	res, err := cen.ref.Propose(ctx, centre.Claim(cmd))
	return res.Claim(), err
}

// Read runs fn on the state of this VM under the leader lease and returns the
// result of fn. It fails if this VM does not lead the group.
func (cen *centreReplica) Read(ctx context.Context, fn func(sta admin.CentreReader) any) (any, error) {
	val, err := group.Read(ctx, cen.ref, func(now model.Instant, _ quorum.Role, sta *centre.State) any {
		return fn(admin.NewCentreView(cen.name, now, sta.Tasks(), cen.leader))
	})
	return val, cen.hideRemoteLeader(err)
}

// Report passes the report of a worker to the planner and waits for the answer.
// It fails if this VM does not hold the leader lease. One report and its answer
// are a poll; Report sets the number of the poll.
func (cen *centreReplica) Report(ctx context.Context, rep sched.ReportSpec) (sched.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rep.Poll = cen.lastPollNumber.Add(1)
	reply := make(chan sched.Answer, 1)
	rejected := make(chan error, 1)
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() || !cen.isOwnCentre() {
			rejected <- quorum.NewNotLeaderError(rol.Leader())
			return
		}
		cen.pollReplies[rep.Poll] = reply
		cen.step(now, centre.NewReport(rep))
	})
	select {
	case ans := <-reply:
		return ans, nil
	case err := <-rejected:
		return sched.Answer{}, cen.hideRemoteLeader(err)
	case <-ctx.Done():
		cen.ref.Do(func(model.Instant, quorum.Role, *centre.State) { delete(cen.pollReplies, rep.Poll) })
		return sched.Answer{}, ctx.Err()
	}
}

// hideRemoteLeader removes the name of the group's leader from err if the leader
// is a VM of another data centre, because such a VM does not answer calls that
// concern this data centre.
func (cen *centreReplica) hideRemoteLeader(err error) error {
	var red admin.Redirect
	vie := cen.nod.view.Load()
	if asRedirect(err, &red) && vie != nil && vie.centreOf(red.Leader()) != cen.name {
		return quorum.NewNotLeaderError("")
	}
	return err
}

// centreMembers returns the voters and learners of the group of a data centre.
// The learners are the other VMs of the data centre in the settings.
func centreMembers(initial *fleet.State, name model.CentreID, all []fleet.VM) (voterIDs, learnerIDs []model.VMID) {
	var own []fleet.VM
	for _, vmi := range all {
		if vmi.Centre() == name {
			own = append(own, vmi)
		}
	}
	return membersOf(initial.CentreVoters(name), own)
}
