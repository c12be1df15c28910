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
	"guavarail/io/wire"
)

const (
	// proposeTimeout bounds a proposal of the planner; the planner itself
	// counts it as lost after 5 s.
	proposeTimeout = 5 * time.Second
	// permitTimeout bounds a permission request. A later answer could not
	// bring more than the next request.
	permitTimeout = 500 * time.Millisecond
	// reportTimeout bounds the wait of a worker for its answer.
	reportTimeout = 3 * time.Second
	// backgroundRoom bounds the proposals and permission requests under way; the
	// planner has at most one of each.
	backgroundRoom = 8
)

type centreRef = group.Ref[*centre.State, centre.Command, centre.Result, centre.Snapshot]

// centrePart is the replica of one data centre group on this VM.
type centrePart struct {
	nod  *Node
	name model.CentreID
	ref  centreRef
	// lead and polls are used on the actor of the group only.
	lead  *centre.Leader
	polls map[uint64]chan<- sched.Answer
	// nextPoll numbers the polls of workers.
	nextPoll atomic.Uint64
	// background takes what the leader asks for and must not block the actor.
	background chan func(ctx context.Context)
}

// groupName names the group of a data centre.
func groupName(name model.CentreID) string { return "centre-" + string(name) }

// startCentre starts the replica of the group of a data centre.
func startCentre(ctx context.Context, nod *Node, name model.CentreID, voters, learners []model.VMID) (*centrePart, func(), error) {
	sto, err := nod.store(groupName(name))
	if err != nil {
		return nil, func() {}, err
	}
	sta := &centre.State{}
	cen := &centrePart{
		nod: nod, name: name, lead: centre.NewLeader(sta), polls: map[uint64]chan<- sched.Answer{},
		background: make(chan func(ctx context.Context), backgroundRoom),
	}
	ref, stop, err := group.New(group.Config[*centre.State, centre.Command, centre.Result, centre.Snapshot]{
		Group: groupName(name), Self: nod.self, Voters: voters, Learners: learners, Replica: sta,
		Commands: wire.CentreCommands{}, Snapshots: wire.CentreSnapshots{}, Store: sto,
		Sender: nod.hub, Clock: nod.clock, Seed: nod.seed, System: nod.sys, OnEvent: nod.rec.Record,
		OnApply: func(_ uint64, cmd centre.Command, res centre.Result) {
			cen.step(nod.clock(), centre.NewApplied(cmd, res))
		},
		OnRole: func(rol quorum.Role) {
			if !rol.Leading() {
				cen.step(nod.clock(), centre.SteppedDown{})
			}
		},
	})
	if err != nil {
		return nil, stop, err
	}
	cen.ref = ref
	nod.groups[groupName(name)] = ref.Deliver
	ctx, cancel := context.WithCancel(ctx)
	runs := make(chan struct{})
	stopTicks := host.Every(ctx, centre.TickInterval, cen.tick)
	go cen.runBackground(ctx, runs)
	return cen, func() {
		stopTicks()
		cancel()
		<-runs
		stop()
	}, nil
}

// runBackground carries out proposals and permission requests until ctx ends.
// Each of them has a bound and runs on a goroutine of its own, so that a
// proposal does not delay a permission.
func (cen *centrePart) runBackground(ctx context.Context, done chan<- struct{}) {
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

// tick steps the leader on the actor that owns the state.
func (cen *centrePart) tick(context.Context) {
	vie := cen.nod.view.Load()
	if vie == nil {
		return
	}
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		var until model.Instant
		if rol.Leased() && cen.local() {
			until = rol.LeasedUntil()
		}
		cen.step(now, centre.NewTick(until, vie.preset))
		if rol.Leased() && !cen.local() {
			cen.inBackground(cen.transfer)
		}
	})
}

// local reports whether this VM belongs to the data centre. A VM of another
// data centre votes as a tie-breaker and does not lead.
func (cen *centrePart) local() bool { return cen.name == cen.nod.centre }

// leads reports whether this VM leads the group under its lease.
func (cen *centrePart) leads(ctx context.Context) bool { return leads(ctx, cen.ref) }

func (cen *centrePart) transfer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := cen.ref.TransferLeadership(ctx); err != nil {
		cen.nod.log.Warn("leadership not transferred", "group", groupName(cen.name), "error", err)
	}
}

// step runs on the actor that owns the state and carries out the effects.
func (cen *centrePart) step(now model.Instant, in centre.Input) {
	for _, eff := range cen.lead.Step(now, in) {
		switch val := eff.(type) {
		case centre.Propose:
			if !cen.inBackground(func(ctx context.Context) { cen.propose(ctx, val.Command()) }) {
				cen.step(now, centre.ProposalDropped{})
			}
		case centre.RequestPermit:
			cen.inBackground(func(ctx context.Context) { cen.permit(ctx, val.Sequence()) })
		case centre.AnswerPoll:
			if reply, ok := cen.polls[val.Answer().Poll()]; ok {
				delete(cen.polls, val.Answer().Poll())
				reply <- val.Answer()
			}
		case centre.RecordEvent:
			cen.nod.rec.Record(val.Event())
		}
	}
}

// inBackground hands over something that takes time. It returns false when too much
// is under way; the planner repeats what it needs.
func (cen *centrePart) inBackground(run func(ctx context.Context)) bool {
	select {
	case cen.background <- run:
		return true
	default:
		return false
	}
}

func (cen *centrePart) propose(ctx context.Context, cmd centre.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := cen.ref.Propose(ctx, cmd)
	var unk *group.UnknownError
	if err != nil && !errors.As(err, &unk) {
		// After an unknown outcome the command may still be applied; the planner
		// then waits for it or for the next takeover.
		cen.ref.Do(func(now model.Instant, _ quorum.Role, _ *centre.State) { cen.step(now, centre.ProposalDropped{}) })
	}
}

func (cen *centrePart) permit(ctx context.Context, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	gra, err := cen.nod.fleet.askPermit(ctx, cen.name, sequence)
	if err != nil {
		return
	}
	cen.ref.Do(func(now model.Instant, _ quorum.Role, _ *centre.State) { cen.step(now, centre.NewPermitDecided(gra)) })
}

// Propose has one operation on tasks decided.
func (cen *centrePart) Propose(ctx context.Context, op sched.Op) (sched.Verdict, error) {
	res, err := cen.ref.Propose(ctx, centre.Tasks(sched.NewCommand(op)))
	if err != nil {
		return 0, cen.redirect(err)
	}
	return res.Tasks().Verdict(0), nil
}

// claim has a command on an idempotency key decided.
func (cen *centrePart) claim(ctx context.Context, cmd once.Command) (once.Result, error) {
	res, err := cen.ref.Propose(ctx, centre.Claim(cmd))
	return res.Claim(), err
}

// Read returns what fn reads from the state of the leader.
func (cen *centrePart) Read(ctx context.Context, fn func(vie admin.CentreReader) any) (any, error) {
	val, err := group.Read(ctx, cen.ref, func(now model.Instant, _ quorum.Role, sta *centre.State) any {
		return fn(admin.NewCentreView(cen.name, now, sta.Tasks(), cen.lead))
	})
	return val, cen.redirect(err)
}

// Report passes on the report of a worker and waits for its answer.
func (cen *centrePart) Report(ctx context.Context, rep sched.ReportSpec) (sched.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rep.Poll = cen.nextPoll.Add(1)
	reply := make(chan sched.Answer, 1)
	refused := make(chan error, 1)
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() || !cen.local() {
			refused <- quorum.NewNotLeaderError(rol.Leader())
			return
		}
		cen.polls[rep.Poll] = reply
		cen.step(now, centre.NewReport(rep))
	})
	select {
	case ans := <-reply:
		return ans, nil
	case err := <-refused:
		return sched.Answer{}, cen.redirect(err)
	case <-ctx.Done():
		cen.ref.Do(func(model.Instant, quorum.Role, *centre.State) { delete(cen.polls, rep.Poll) })
		return sched.Answer{}, ctx.Err()
	}
}

// redirect hides a leader of another data centre: calls on a data centre are
// answered by its own VMs only.
func (cen *centrePart) redirect(err error) error {
	var els admin.Redirect
	vie := cen.nod.view.Load()
	if asElsewhere(err, &els) && vie != nil && vie.centreOf(els.Leader()) != cen.name {
		return quorum.NewNotLeaderError("")
	}
	return err
}

// centreMembers returns the voters and learners of the group of a data centre,
// from the VMs of the settings.
func centreMembers(first *fleet.State, name model.CentreID, all []fleet.VM) (vos, lea []model.VMID) {
	var own []fleet.VM
	for _, vmi := range all {
		if vmi.Centre() == name {
			own = append(own, vmi)
		}
	}
	return membersOf(first.CentreVoters(name), own)
}
