package cell

import (
	"context"
	"slices"
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// lookEvery is the time between two looks while no leader answers, and
	// stayEvery while one does.
	lookEvery = 100 * time.Millisecond
	stayEvery = 500 * time.Millisecond
	// helloTimeout bounds one question.
	helloTimeout = 400 * time.Millisecond
	// freshLeader is the age of an answer up to which its leader counts as
	// present.
	freshLeader = 1500 * time.Millisecond
)

// known is what a VM knows of the cell. It is never changed after it was
// published.
type known struct {
	// leader answered under its lease at the time at; empty if none did.
	leader model.VMID
	term   uint64
	at     model.Instant
	// members are the VMs with a disk that are known, with the seeds.
	members []model.VMID
}

// finder keeps known up to date. It is owned by one goroutine.
type finder struct {
	vm   *VM
	disk string
}

// startFinder starts the goroutine that looks for the leader.
func startFinder(ctx context.Context, vm *VM) func() {
	fin := &finder{vm: vm}
	if vm.member != nil {
		fin.disk = string(vm.member.disk)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go fin.run(ctx, done)
	return func() {
		cancel()
		<-done
	}
}

// run looks until ctx ends and then closes done.
func (fin *finder) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		pause := lookEvery
		if fin.look(ctx) {
			pause = stayEvery
		}
		fin.wait(ctx, pause)
	}
}

// wait pauses until the next look is due or asked for.
func (fin *finder) wait(ctx context.Context, pause time.Duration) {
	host.Pause(ctx, min(pause, lookEvery))
	if pause <= lookEvery {
		return
	}
	tim := time.NewTimer(pause - lookEvery)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	case <-fin.vm.lookNow:
	}
}

// look asks the leader, or everyone when it does not answer as such.
func (fin *finder) look(ctx context.Context) bool {
	cur := fin.vm.known.Load()
	if cur.leader != "" {
		if wel, ok := fin.ask(ctx, cur.leader); ok && wel.GetLeased() {
			fin.learn(cur, []*wire.CellWelcome{wel}, cur.leader, wel.GetTerm())
			return true
		}
	}
	wels := fin.askAll(ctx, cur.members)
	leader, term := model.VMID(""), uint64(0)
	var all []*wire.CellWelcome
	for id, wel := range wels {
		all = append(all, wel)
		if wel.GetLeased() && wel.GetTerm() >= term {
			leader, term = id, wel.GetTerm()
		}
	}
	fin.learn(cur, all, leader, term)
	return leader != ""
}

func (fin *finder) ask(ctx context.Context, id model.VMID) (*wire.CellWelcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	wel, err := peer.Call[*wire.CellWelcome](ctx, fin.vm.hub, id, &wire.CellHello{Vm: string(fin.vm.self), Disk: fin.disk})
	if err != nil {
		fin.vm.log.Debug("vm did not answer", "vm", id, "error", err)
		return nil, false
	}
	return wel, true
}

// askAll asks several VMs at the same time.
func (fin *finder) askAll(ctx context.Context, ids []model.VMID) map[model.VMID]*wire.CellWelcome {
	type answer struct {
		id  model.VMID
		wel *wire.CellWelcome
	}
	answers := make(chan answer, len(ids))
	for _, id := range ids {
		go func(ctx context.Context) {
			wel, _ := fin.ask(ctx, id)
			answers <- answer{id: id, wel: wel}
		}(ctx)
	}
	out := map[model.VMID]*wire.CellWelcome{}
	for range ids {
		if ans := <-answers; ans.wel != nil {
			out[ans.id] = ans.wel
		}
	}
	return out
}

// learn publishes what the answers say. Members that the leader no longer
// names are dropped, but for the seeds.
func (fin *finder) learn(cur *known, wels []*wire.CellWelcome, leader model.VMID, term uint64) {
	vm := fin.vm
	next := &known{leader: leader, term: term, at: vm.clock(), members: slices.Clone(*vm.seeds.Load())}
	if leader == "" {
		next.members = append(next.members, cur.members...)
	}
	for _, wel := range wels {
		for _, mem := range wel.GetMembers() {
			next.members = append(next.members, model.VMID(mem))
		}
	}
	slices.Sort(next.members)
	next.members = slices.Compact(next.members)
	if cur.leader != leader {
		kind := event.Kind("leaderFound")
		if leader == "" {
			kind = "leaderLost"
		}
		vm.RecordEvent(event.New(kind, event.Subject{VM: vm.set.Name()}, event.NewField("leader", string(leader)),
			event.NewField("before", string(cur.leader))))
	}
	vm.known.Store(next)
	if !slices.Equal(cur.members, next.members) {
		vm.setPeers(next.members)
	}
}

// look asks the finder for a new look.
func (vm *VM) look() {
	select {
	case vm.lookNow <- struct{}{}:
	default:
	}
}

// Ready reports whether this VM can take calls to a leader.
func (vm *VM) Ready() bool {
	cur := vm.known.Load()
	return cur.leader != "" && vm.clock().Sub(cur.at) < freshLeader
}
