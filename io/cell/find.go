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
	// discoveryInterval is the time between two discoveries while no leader
	// answers, and leaderCheckInterval while one does.
	discoveryInterval   = 100 * time.Millisecond
	leaderCheckInterval = 500 * time.Millisecond
	// helloTimeout bounds the wait for the answer to one CellHello message.
	helloTimeout = 400 * time.Millisecond
	// leaderTTL is the time after its last answer for which a leader counts as
	// known.
	leaderTTL = 1500 * time.Millisecond
)

// discovery is what a VM has discovered of the cell. It is not modified after it
// was published.
type discovery struct {
	// leader answered at the time at that it leads under its lease; it is empty if
	// no VM did.
	leader model.VMID
	term   uint64
	at     model.Instant
	// members are the known VMs with a disk, and the seeds.
	members []model.VMID
}

// leaderFinder keeps VM.discovered up to date. It is owned by one goroutine.
type leaderFinder struct {
	vm *VM
	// disk is the identity of this VM's disk; empty if it has none.
	disk string
}

// startFinder starts the goroutine that discovers the leader. The returned
// function stops it.
func startFinder(ctx context.Context, vm *VM) func() {
	fin := &leaderFinder{vm: vm}
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

// run repeats the discovery until ctx ends and then closes done.
func (fin *leaderFinder) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		pause := discoveryInterval
		if fin.discover(ctx) {
			pause = leaderCheckInterval
		}
		fin.wait(ctx, pause)
	}
}

// wait pauses until the next discovery is due or requested, but for at least
// discoveryInterval.
func (fin *leaderFinder) wait(ctx context.Context, pause time.Duration) {
	host.Pause(ctx, min(pause, discoveryInterval))
	if pause <= discoveryInterval {
		return
	}
	tim := time.NewTimer(pause - discoveryInterval)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	case <-fin.vm.discoverNow:
	}
}

// discover queries the last known leader, or all members if it does not answer
// as the leader. It reports whether a leader was found.
func (fin *leaderFinder) discover(ctx context.Context) bool {
	prev := fin.vm.discovered.Load()
	if prev.leader != "" {
		if wel, ok := fin.hello(ctx, prev.leader); ok && wel.GetLeased() {
			fin.publish(prev, []*wire.CellWelcome{wel}, prev.leader, wel.GetTerm())
			return true
		}
	}
	wels := fin.helloAll(ctx, prev.members)
	leader, term := model.VMID(""), uint64(0)
	var all []*wire.CellWelcome
	for id, wel := range wels {
		all = append(all, wel)
		if wel.GetLeased() && wel.GetTerm() >= term {
			leader, term = id, wel.GetTerm()
		}
	}
	fin.publish(prev, all, leader, term)
	return leader != ""
}

// hello sends one CellHello message and returns the answer, and false if there was
// none.
func (fin *leaderFinder) hello(ctx context.Context, id model.VMID) (*wire.CellWelcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	wel, err := peer.Call[*wire.CellWelcome](ctx, fin.vm.hub, id, &wire.CellHello{Vm: string(fin.vm.self), Disk: fin.disk})
	if err != nil {
		fin.vm.log.Debug("VM did not answer a hello message", "vm", id, "error", err)
		return nil, false
	}
	return wel, true
}

// helloAll sends a CellHello message to several VMs at the same time and returns
// the answers.
func (fin *leaderFinder) helloAll(ctx context.Context, ids []model.VMID) map[model.VMID]*wire.CellWelcome {
	type welcome struct {
		id  model.VMID
		wel *wire.CellWelcome
	}
	answers := make(chan welcome, len(ids))
	for _, id := range ids {
		go func(ctx context.Context) {
			wel, _ := fin.hello(ctx, id)
			answers <- welcome{id: id, wel: wel}
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

// publish replaces the discovery by one made of the answers. Members that the
// leader no longer lists are dropped, except for the seeds.
func (fin *leaderFinder) publish(prev *discovery, wels []*wire.CellWelcome, leader model.VMID, term uint64) {
	vm := fin.vm
	next := &discovery{leader: leader, term: term, at: vm.clock(), members: slices.Clone(*vm.seeds.Load())}
	if leader == "" {
		next.members = append(next.members, prev.members...)
	}
	for _, wel := range wels {
		for _, mem := range wel.GetMembers() {
			next.members = append(next.members, model.VMID(mem))
		}
	}
	slices.Sort(next.members)
	next.members = slices.Compact(next.members)
	if prev.leader != leader {
		kind := event.Kind("leaderFound")
		if leader == "" {
			kind = "leaderLost"
		}
		vm.RecordEvent(event.New(kind, event.Subject{VM: vm.set.Name()}, event.NewField("leader", string(leader)),
			event.NewField("before", string(prev.leader))))
	}
	vm.discovered.Store(next)
	if !slices.Equal(prev.members, next.members) {
		vm.setPeers(next.members)
	}
}

// requestDiscovery requests a discovery before the next regular one.
func (vm *VM) requestDiscovery() {
	select {
	case vm.discoverNow <- struct{}{}:
	default:
	}
}

// Ready reports whether this VM can route calls to a leader.
func (vm *VM) Ready() bool {
	cur := vm.discovered.Load()
	return cur.leader != "" && vm.clock().Sub(cur.at) < leaderTTL
}
