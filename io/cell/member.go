package cell

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/group"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// groupName names the group of a cell.
	groupName = "cell"
	// nobody stands for the voters of a cell that a VM has yet to learn.
	nobody model.VMID = "-"
	// membersEvery is the time between two looks at the members.
	membersEvery = 200 * time.Millisecond
	// proposeTime bounds a proposal of the planner.
	proposeTime = 5 * time.Second
	// changeTime bounds a membership change.
	changeTime = 3 * time.Second
)

type groupRef = group.Ref[*cell.State, cell.Command, cell.Result, cell.Snapshot]

// standing is what the replica on this VM is to the cell. It is never changed
// after it was published.
type standing struct {
	leased bool
	leader model.VMID
	term   uint64
}

// proposal is a command that the planner decided in a term.
type proposal struct {
	// ctx ends with the term, so that the proposal of an earlier term does not
	// hold up the next one.
	ctx  context.Context
	term uint64
	cmd  cell.Command
}

// member is the replica of the state of the cell on this VM.
type member struct {
	vm   *VM
	ref  groupRef
	disk quorum.DiskID
	// state is the replica. It is used on the actor of the group only, like
	// plan, polls, leading and repair.
	state   *cell.State
	plan    *flow.Planner
	polls   map[uint64]chan<- flow.Answer
	leading bool
	repair  cell.Repair
	// nextPoll numbers the reports of workers.
	nextPoll atomic.Uint64
	// standing and members are replaced as a whole.
	standing atomic.Pointer[standing]
	members  atomic.Pointer[quorum.Members]
	// proposals has room for the one proposal of the planner.
	proposals *latest[proposal]
	// endTerm gives up the proposal of the present term.
	endTerm context.CancelFunc
	// term is the context of the proposals of the present term.
	term context.Context
}

// startMember opens the data directory and starts the replica.
func startMember(ctx context.Context, vm *VM) (*member, func(), error) {
	dir, _ := vm.set.DataDir()
	fls, closeFiles, err := disk.Open(disk.Config{
		Dir: filepath.Join(dir, groupName), VM: vm.self, Group: groupName, Logger: vm.log.Named("disk"),
	})
	if err != nil {
		return nil, closeFiles, err
	}
	sta := &cell.State{}
	mem := &member{
		vm: vm, disk: fls.Disk(), state: sta, polls: map[uint64]chan<- flow.Answer{}, proposals: newLatest[proposal](),
		plan:   flow.NewPlanner(sta.Jobs(), flow.Config{LeaseDuration: vm.set.Hold(), JobRetention: vm.set.Keep(), PaceDelay: vm.set.PaceDelay()}),
		repair: cell.Repair{Voters: vm.set.Voters()},
	}
	mem.standing.Store(&standing{})
	mem.endTerm = func() {}
	mem.members.Store(&quorum.Members{})
	voters, learners := vm.founders()
	ref, stopGroup, err := group.New(group.Config[*cell.State, cell.Command, cell.Result, cell.Snapshot]{
		Group: groupName, Self: vm.self, Voters: voters, Learners: learners, Replica: sta,
		Commands: wire.CellCommands{}, Snapshots: wire.CellSnapshots{}, Store: fls,
		Sender: vm.hub, Clock: vm.clock, Seed: seedOf(vm.self), System: vm.sys, OnEvent: vm.rec.Note,
		OnApply: mem.applied, OnRole: mem.roleChanged,
	})
	if err != nil {
		closeFiles()
		return nil, func() {}, err
	}
	mem.ref = ref
	peer.Handle(vm.mux, ref.Deliver)
	peer.Answer(vm.mux, mem.welcome)
	ctx, cancel := context.WithCancel(ctx)
	proposed := make(chan struct{})
	go mem.runProposals(ctx, proposed)
	stopTicks := host.Every(ctx, flow.TickInterval, mem.tick)
	stopMembers := host.Every(ctx, membersEvery, mem.tend)
	return mem, func() {
		stopMembers()
		stopTicks()
		cancel()
		<-proposed
		stopGroup()
		closeFiles()
	}, nil
}

// founders returns the first members of the group. Only the seeds of a cell
// that starts for the first time found it; any other empty disk waits to be
// taken in, because it may have lost what it voted for.
func (vm *VM) founders() (voters, learners []model.VMID) {
	sds := *vm.seeds.Load()
	if vm.set.Found() && slices.Contains(sds, vm.self) {
		return sds, nil
	}
	return []model.VMID{nobody}, []model.VMID{vm.self}
}

// leased reports whether this VM leads under its lease, as of the last tick.
func (mem *member) leased() bool { return mem.standing.Load().leased }

// applied runs on the actor of the group after each command.
func (mem *member) applied(_ uint64, cmd cell.Command, res cell.Result) {
	now := mem.vm.clock()
	for i, op := range cmd.Ops() {
		mem.step(now, flow.Applied{Op: op, Verdict: res.Verdicts()[i]})
	}
	if cen, out := cmd.Centre(); cen != "" {
		mem.step(now, flow.Outage{Centres: mem.state.Out()})
		mem.vm.Note(event.New("centreChanged", event.Subject{Centre: cen}, event.NewField("out", strconv.FormatBool(out))))
	}
	if doc, ok := cmd.Document(); ok {
		mem.vm.Note(event.New("configurationApplied", event.Subject{}, event.NewField("version", strconv.FormatUint(doc.Version(), 10)),
			event.NewField("inEffect", strconv.FormatUint(res.Version(), 10))))
	}
}

// roleChanged runs on the actor of the group.
func (mem *member) roleChanged(rol quorum.Role) {
	if !rol.Leading() {
		mem.leading = false
		mem.endTerm()
		mem.step(mem.vm.clock(), flow.SteppedDown{})
	}
	mem.publish(rol)
}

func (mem *member) publish(rol quorum.Role) {
	next := standing{leased: rol.Leased() && mem.leading, leader: rol.Leader(), term: rol.Term()}
	if *mem.standing.Load() != next {
		mem.standing.Store(&next)
	}
}

// tick steps the planner on the actor that owns the state.
func (mem *member) tick(ctx context.Context) {
	mem.ref.Do(func(now model.Instant, rol quorum.Role, sta *cell.State) {
		wall := time.Now().UnixMilli()
		switch {
		case rol.Leased() && !mem.leading:
			mem.leading = true
			mem.term, mem.endTerm = context.WithCancel(ctx)
			mem.repair.Start(now)
			mem.step(now, flow.Outage{Centres: sta.Out()})
			mem.step(now, flow.BecameLeader{Term: rol.Term(), LeadUntil: rol.LeasedUntil(), Wall: wall})
		case mem.leading:
			mem.step(now, flow.Tick{LeadUntil: rol.LeasedUntil(), Wall: wall})
		}
		mem.publish(rol)
	})
}

// step runs on the actor that owns the state and carries out the effects.
func (mem *member) step(now model.Instant, in flow.Input) {
	effs := mem.plan.Step(now, in)
	planTime.Add(mem.vm.clock().Sub(now))
	for _, eff := range effs {
		switch val := eff.(type) {
		case flow.Propose:
			// One that still waits is of an earlier term.
			mem.proposals.put(proposal{ctx: mem.term, term: val.Term, cmd: cell.Jobs(val.Ops...)})
		case flow.Answer:
			if reply, ok := mem.polls[val.HeartbeatID]; ok {
				delete(mem.polls, val.HeartbeatID)
				reply <- val
			}
		case flow.RecordEvent:
			mem.note(val)
		}
	}
}

func (mem *member) note(no flow.RecordEvent) {
	decisions.Add(no.Kind)
	fis := make([]event.Field, 0, len(no.Fields))
	for _, fi := range no.Fields {
		fis = append(fis, event.NewField(fi.Key, fi.Value))
	}
	mem.vm.Note(event.New(event.Kind(no.Kind), event.Subject{Job: no.Job, Task: no.Task, Worker: model.WorkerID(no.Worker)}, fis...))
}

// runProposals proposes what the planner decides until ctx ends and then
// closes done.
func (mem *member) runProposals(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case pro := <-mem.proposals.get():
			mem.propose(pro)
		}
	}
}

// propose has one command decided. After an unknown outcome the planner goes
// on; what is applied later is found again as a run of an earlier leader.
func (mem *member) propose(pro proposal) {
	ctx, cancel := context.WithTimeout(pro.ctx, proposeTime)
	defer cancel()
	start := mem.vm.clock()
	_, err := mem.ref.Propose(ctx, pro.cmd)
	commitTime.Add(mem.vm.clock().Sub(start))
	if err != nil {
		mem.vm.log.Warn("operations not applied", "operations", len(pro.cmd.Ops()), "term", pro.term, "error", err)
	}
	mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) {
		mem.step(now, flow.ProposalEnded{Term: pro.term, Applied: err == nil})
	})
}

// welcome answers a VM that looks for the leader.
func (mem *member) welcome(_ context.Context, _ model.VMID, hel *wire.CellHello) (*wire.CellWelcome, error) {
	sta := mem.standing.Load()
	if sta.leased && hel.GetDisk() != "" {
		pre := cell.Presence{VM: model.VMID(hel.GetVm()), Disk: quorum.DiskID(hel.GetDisk())}
		mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) {
			pre.Heard = now
			mem.repair.Announce(pre)
		})
	}
	wel := &wire.CellWelcome{Leader: string(sta.leader), Term: sta.term, Leased: sta.leased}
	for _, one := range mem.members.Load().List() {
		if one.VM() != nobody {
			wel.Members = append(wel.Members, string(one.VM()))
		}
	}
	return wel, nil
}

// tend keeps the members as they should be while this VM leads.
func (mem *member) tend(ctx context.Context) {
	mems, err := mem.ref.Members(ctx)
	if err != nil {
		return
	}
	mem.members.Store(&mems)
	if !mem.leased() {
		return
	}
	next := make(chan quorum.Change, 1)
	mem.ref.Do(func(now model.Instant, rol quorum.Role, _ *cell.State) {
		defer close(next)
		if !rol.Leased() {
			return
		}
		if chg, ok := mem.repair.Next(now, mem.vm.self, mems); ok {
			next <- chg
		}
	})
	select {
	case <-ctx.Done():
	case chg, ok := <-next:
		if ok {
			mem.change(ctx, chg)
		}
	}
}

func (mem *member) change(ctx context.Context, chg quorum.Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	err := mem.ref.Change(ctx, chg)
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	mem.vm.Note(event.New("memberChange", event.Subject{VM: chg.VM()},
		event.NewField("change", changeNames[chg.Kind()]), event.NewField("outcome", outcome)))
}

// changeNames are the names of membership changes in logs.
var changeNames = [...]string{quorum.AddLearner: "addLearner", quorum.Promote: "promote", quorum.Remove: "remove"}
