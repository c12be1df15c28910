package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/fence"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// discoveryInterval is the pause between two discoveries while no leader
	// answers, and leaderCheckInterval while one does.
	discoveryInterval   = 100 * time.Millisecond
	leaderCheckInterval = 500 * time.Millisecond
	// helloTimeout bounds the wait for the answer to one CellHello message.
	helloTimeout = 400 * time.Millisecond
	// leaderTTL is the age up to which a discovery that found a leader makes Ready report
	// true.
	leaderTTL = 1500 * time.Millisecond
	// maxAnnouncements is the number of announcements that may wait to be taken up.
	maxAnnouncements = 64
)

// discovery is the leader and the members that a VM has discovered. It is not
// modified after it was published.
type discovery struct {
	// leader is the VM that answered that it leads under its lease; empty if none
	// did. term is its term, 0 if there is no leader.
	leader model.VMID
	term   uint64
	// ticket is that of the leader, the zero value if it issues none.
	ticket fence.Ticket
	// discoveredAt is when the last of the answers had arrived.
	discoveredAt model.Instant
	// members are the VMs to connect to: the seeds and the VMs that the answers list.
	// Without a leader they include the members that this VM's replica knows and
	// announced, because the seeds may have lost their disks.
	members []model.VMID
	// announced are the VMs with a disk that have announced themselves to this one.
	announced []model.VMID
}

// toPassOn returns the VMs that a VM names to one that asks it, besides the members that its
// replica knows. If it has found the leader, it names that and the members, of which it may
// not be one. Otherwise its members may be out of date and would be passed on forever.
func (dis *discovery) toPassOn() []model.VMID {
	out := slices.Clone(dis.announced)
	if dis.leader != "" {
		out = append(append(out, dis.leader), dis.members...)
	}
	return out
}

// leaderFinder discovers the leader and updates VM.discovered. It is owned by one
// goroutine.
type leaderFinder struct {
	vm *VM
	// announced holds the VMs of VM.announcements.
	announced cell.Directory
}

// startFinder starts the goroutine that discovers the leader. The returned
// function stops it.
func startFinder(ctx context.Context, vm *VM) func() {
	fin := &leaderFinder{vm: vm}
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

// wait pauses for the given time. A requested discovery ends the pause early, but
// not before discoveryInterval has passed.
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

// discover queries the leader of the previous discovery, or all members if it does
// not answer as the leader. It reports whether a leader was found. If several VMs
// answer as the leader, the one with the highest term counts.
func (fin *leaderFinder) discover(ctx context.Context) bool {
	prev := fin.vm.discovered.Load()
	if prev.leader != "" {
		if wel, ok := fin.hello(ctx, prev.leader); ok && wel.GetLeased() {
			fin.vm.learnLimits(wel)
			fin.publish(prev, []*wire.CellWelcome{wel}, prev.leader, wel)
			return true
		}
	}
	wels := fin.helloAll(ctx, prev.members)
	leader := model.VMID("")
	// best is the answer of leader; the methods of a nil message return zero values.
	var best *wire.CellWelcome
	var answers []*wire.CellWelcome
	for id, wel := range wels {
		answers = append(answers, wel)
		if wel.GetLeased() && wel.GetTerm() >= best.GetTerm() {
			leader, best = id, wel
		}
	}
	if leader != "" {
		fin.vm.learnLimits(best)
	}
	fin.publish(prev, answers, leader, best)
	return leader != ""
}

// hello sends one CellHello message and returns the answer, and false if there was
// none.
func (fin *leaderFinder) hello(ctx context.Context, id model.VMID) (*wire.CellWelcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	wel, err := peer.Call[*wire.CellWelcome](ctx, fin.vm.hub, id, &wire.CellHello{
		Vm: string(fin.vm.self), Disk: string(fin.vm.workingDisk()), Centre: string(fin.vm.settings.Centre()),
	})
	if err != nil {
		fin.vm.log.Debug("no answer to a hello message; VM left out of this discovery", "vm", id, "error", err)
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

// publish replaces the discovery by one made of the answers. best is the answer of the
// leader, nil if there is none. If there is a leader, members that it does not list are
// removed, except for the seeds. Without a leader the previous members stay as well.
func (fin *leaderFinder) publish(prev *discovery, wels []*wire.CellWelcome, leader model.VMID, best *wire.CellWelcome) {
	vm := fin.vm
	now := vm.clock()
	fin.receiveAnnouncements(now)
	next := &discovery{leader: leader, term: best.GetTerm(), discoveredAt: now, members: slices.Clone(*vm.seeds.Load()), announced: fin.announced.VMs(now)}
	if best.GetClock() > 0 {
		next.ticket = fence.NewTicket(best.GetTerm(), model.Instant(best.GetClock()), now)
	}
	if leader == "" {
		next.members = append(next.members, prev.members...)
		next.members = append(next.members, vm.knownMembers()...)
		next.members = append(next.members, next.announced...)
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
		vm.RecordEvent(event.New(kind, event.Subject{VM: vm.settings.Name()}, event.NewField("leader", string(leader)),
			event.NewField("before", string(prev.leader))))
	}
	vm.discovered.Store(next)
	if !slices.Equal(prev.members, next.members) {
		vm.RecordEvent(event.New("peersChanged", event.Subject{VM: vm.settings.Name()}, event.NewField("peers", joinVMs(next.members)),
			event.NewField("announced", joinVMs(next.announced))))
		vm.setPeers(next.members)
	}
}

// joinVMs returns the VMs in the form that events use, with commas.
func joinVMs(vms []model.VMID) string {
	var out []string
	for _, id := range vms {
		out = append(out, string(id))
	}
	return strings.Join(out, ",")
}

// requestDiscovery ends the pause before the next discovery early. It does not
// block.
func (vm *VM) requestDiscovery() {
	select {
	case vm.discoverNow <- struct{}{}:
	default:
	}
}

// Ready reports whether this VM can route calls to a leader, which must have
// answered within leaderTTL.
func (vm *VM) Ready() bool {
	cur := vm.discovered.Load()
	return cur.leader != "" && vm.clock().Sub(cur.discoveredAt) < leaderTTL
}
