package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

const (
	// helloInterval is the time between two announcements of a VM.
	helloInterval = 300 * time.Millisecond
	// repairInterval is the time between two decisions of Repair.
	repairInterval = 200 * time.Millisecond
	// changeTimeout bounds the wait for the outcome of a membership change.
	changeTimeout = 3 * time.Second
	// catchUpTime is the time for which a VM that lost its disk must be up and
	// reachable before it no longer counts as lost.
	catchUpTime = 4 * time.Second
)

// simTimer is a function that runs at a simulated time. seq orders timers with the
// same time.
type simTimer struct {
	at  time.Duration
	seq int
	run func()
}

// simQueue is a heap of timers.
type simQueue []simTimer

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simTimer)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simDisk holds what is synced. Writes that are not synced are lost in a crash.
type simDisk struct {
	id   quorum.DiskID
	hard quorum.HardState
	ents []quorum.Entry
}

// holds reports whether the entry with this index and term is on the disk.
func (d *simDisk) holds(idx, term uint64) bool {
	return uint64(len(d.ents)) >= idx && d.ents[idx-1].Term() == term
}

// simVM is one VM with a disk.
type simVM struct {
	id     model.VMID
	centre model.CentreID
	disk   *simDisk
	// lostDisk is the disk that the VM had before.
	lostDisk *simDisk
	node     *quorum.Node
	repair   planner
	// leading is set while repair has announcements of the current term.
	leading bool
	up      bool
	// dark VMs neither send nor receive.
	dark bool
	// delay is added to each message to this VM.
	delay time.Duration
	// queue holds the writes that are not synced. A sync takes syncTime, and does not
	// start before hangsUntil.
	queue      []quorum.Persist
	syncing    bool
	syncTime   time.Duration
	hangsUntil time.Duration
	// failed is set while the disk refuses writes.
	failed bool
	// incarnation is incremented at each start and crash.
	incarnation int
	pending     []quorum.Accepted
	applied     []quorum.Entry
	// change is the membership change that the VM waits for until changeEnd. Both
	// are zero if there is none.
	change    quorum.Change
	changeEnd time.Duration
	// wiped is set from the loss of the disk on until the VM has been reachable
	// for catchUpTime since reachableSince.
	wiped          bool
	reachableSince time.Duration
}

// planner chooses the membership changes of a leader.
type planner interface {
	Start(now model.Instant)
	Announce(pre Presence)
	Next(now model.Instant, self model.VMID, mems quorum.Members) (quorum.Change, bool)
	Failed(now model.Instant, chg quorum.Change)
}

// cellSim simulates the VMs with a disk of a cell, whose members Repair chooses.
type cellSim struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  simQueue
	seq    int
	vms    []*simVM
	seeds  []model.VMID
	losses int
	// minCopies is Config.MinCopies of every VM.
	minCopies int
	// newPlanner returns the planner of a VM that starts.
	newPlanner func(vm *simVM) planner
	// untilRepaired is set if a VM that lost its disk counts as lost until all voters
	// that lost theirs are replaced, and not only for catchUpTime: with operators or
	// faulty disks this takes longer.
	untilRepaired bool
	// settleTime is the time in which all lost voters are replaced.
	settleTime time.Duration
	// onWipe is called for a VM that lost its disk. It may be nil.
	onWipe func(vm *simVM)
	disks  int
	lastID uint64
	// acked holds the term of each acknowledged entry by index.
	acked map[uint64]uint64
	// fewest is the smallest number of voters' disks that had an entry when it
	// was acknowledged.
	fewest int
	// leaders holds the leader of each term, and votes the candidate for which a VM
	// voted in a term with the disk that the candidate's configuration names.
	leaders map[uint64]model.VMID
	votes   map[ballot]model.VMID
	// changes counts the membership changes that leaders have applied.
	changes int
	errs    []string
}

// ballot is the vote of a VM in a term.
type ballot struct {
	vm   model.VMID
	term uint64
}

// newCellSim starts a cell of count VMs, which the first three bootstrap.
func newCellSim(seed uint64, losses, count int) *cellSim {
	s := newGroupSim(seed, losses, count, 3, 3)
	s.minCopies, s.settleTime = losses+1, 10*time.Second
	s.newPlanner = func(vm *simVM) planner { return &Repair{Voters: 2*losses + 1, Centre: vm.centre} }
	s.startAll()
	return s
}

// newGroupSim returns a group of count VMs in several data centres, of which the first
// ones are the initial voters. They are not started.
func newGroupSim(seed uint64, losses, count, seeds, centres int) *cellSim {
	s := &cellSim{rnd: rand.New(rand.NewPCG(seed, 2)), losses: losses, acked: map[uint64]uint64{}, fewest: count}
	s.leaders, s.votes = map[uint64]model.VMID{}, map[ballot]model.VMID{}
	for pos := range count {
		s.vms = append(s.vms, &simVM{syncTime: 6 * time.Millisecond, id: model.VMID(rune('a' + pos)), centre: model.CentreID(rune('p' + pos%centres))})
	}
	for _, vm := range s.vms[:seeds] {
		s.seeds = append(s.seeds, vm.id)
	}
	return s
}

// startAll starts the VMs.
func (s *cellSim) startAll() {
	for _, vm := range s.vms {
		vm.disk = s.newDisk()
		s.after(s.upTo(300*time.Millisecond), func() { s.start(vm, true) })
		s.every(vm, helloInterval, s.announce)
		s.every(vm, repairInterval, s.maintain)
	}
}

func (s *cellSim) upTo(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) }

func (s *cellSim) newDisk() *simDisk {
	s.disks++
	return &simDisk{id: quorum.DiskID(fmt.Sprintf("disk%d", s.disks))}
}

func (s *cellSim) instant() model.Instant { return model.Instant(s.now) }

func (s *cellSim) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simTimer{at: s.now + delay, seq: s.seq, run: run})
}

// every calls fn at the interval while vm is up.
func (s *cellSim) every(vm *simVM, interval time.Duration, fn func(vm *simVM)) {
	s.after(interval, func() {
		if vm.up {
			fn(vm)
		}
		s.every(vm, interval, fn)
	})
}

func (s *cellSim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		tm := heap.Pop(&s.queue).(simTimer)
		s.now = tm.at
		tm.run()
	}
	s.now = end
}

// start starts a VM from its disk. With bootstrap, a seed is an initial voter.
func (s *cellSim) start(vm *simVM, bootstrap bool) {
	vm.incarnation++
	vm.up, vm.leading, vm.pending, vm.applied, vm.changeEnd = true, false, nil, nil, 0
	vm.repair = s.newPlanner(vm)
	vm.reachableSince = s.now
	voters, learners := []model.VMID{"-"}, []model.VMID{vm.id}
	if bootstrap && slices.Contains(s.seeds, vm.id) {
		voters, learners = s.seeds, nil
	}
	vm.node = quorum.NewNode(quorum.Config{
		Self: vm.id, Disk: vm.disk.id, Voters: voters, Learners: learners, MinCopies: s.minCopies, Seed: s.rnd.Uint64(),
		SnapshotEntries: 1 << 40, SnapshotBytes: 1 << 40,
		Stored: quorum.NewStoredState(vm.disk.hard, quorum.Snapshot{}, slices.Clone(vm.disk.ents)),
	})
	s.tick(vm, vm.incarnation)
}

func (s *cellSim) tick(vm *simVM, incarnation int) {
	if vm.incarnation == incarnation {
		s.step(vm, quorum.Tick{})
		s.after(25*time.Millisecond, func() { s.tick(vm, incarnation) })
	}
}

// crash stops a VM. Of the writes that are not synced, those up to any one are kept.
func (s *cellSim) crash(vm *simVM) {
	for _, eff := range vm.queue[:s.rnd.IntN(len(vm.queue)+1)] {
		vm.disk.write(eff)
	}
	vm.queue, vm.syncing, vm.up = nil, false, false
	vm.incarnation++
}

// wipe stops a VM and replaces its disk by an empty one.
func (s *cellSim) wipe(vm *simVM) {
	s.crash(vm)
	vm.lostDisk, vm.disk, vm.wiped = vm.disk, s.newDisk(), true
	if s.onWipe != nil {
		s.onWipe(vm)
	}
}

// setDark cuts a VM off or connects it again.
func (s *cellSim) setDark(vm *simVM, dark bool) { vm.dark, vm.reachableSince = dark, s.now }

// lost returns the number of VMs that count as lost with their disks.
func (s *cellSim) lost() int {
	count, repaired := 0, s.voters() == 2*s.losses+1
	for _, vm := range s.vms {
		if vm.up && !vm.dark && s.now-vm.reachableSince > catchUpTime && (!s.untilRepaired || repaired) {
			vm.wiped = false
		}
		if vm.wiped {
			count++
		}
	}
	return count
}

func (s *cellSim) step(vm *simVM, in quorum.Input) {
	if !vm.up {
		return
	}
	for _, eff := range vm.node.Step(s.instant(), in) {
		switch val := eff.(type) {
		case quorum.Send:
			s.send(vm, val.Message())
		case quorum.Persist:
			s.persist(vm, val)
		case quorum.Accepted:
			vm.pending = append(vm.pending, val)
		case quorum.Rejected:
			if val.ID() == 0 {
				s.endChange(vm, true)
			}
		case quorum.Apply:
			s.apply(vm, val.Entry())
		}
	}
	role := vm.node.Role(s.instant())
	vm.leading = vm.leading && role.Leading()
	if old := s.leaders[role.Term()]; role.Leading() && old != "" && old != vm.id {
		s.fail("%s and %s lead in term %d", old, vm.id, role.Term())
	} else if role.Leading() {
		s.leaders[role.Term()] = vm.id
	}
}

// checkVote checks that a VM doesn't vote for two candidates in a term, whatever disk it
// has. A vote from a disk that the candidate's configuration doesn't name is none.
func (s *cellSim) checkVote(spec quorum.MessageSpec, to *simVM) {
	mem, _ := to.node.Members().Find(spec.From)
	if spec.Kind != quorum.VoteReply || spec.Reject || !mem.Voter() || mem.Disk() != spec.Disk {
		return
	}
	bal := ballot{vm: spec.From, term: spec.Term}
	if old := s.votes[bal]; old != "" && old != to.id {
		s.fail("%s votes for %s and %s in term %d", spec.From, old, to.id, spec.Term)
	}
	s.votes[bal] = to.id
}

// find returns the VM with the given name, or nil.
func (s *cellSim) find(id model.VMID) *simVM {
	pos := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.id == id })
	if pos < 0 {
		return nil
	}
	return s.vms[pos]
}

func (s *cellSim) send(from *simVM, msg quorum.Message) {
	to := s.find(msg.To())
	if to == nil {
		return
	}
	s.after(500*time.Microsecond+s.upTo(time.Millisecond)+to.delay, func() {
		if !from.dark && !to.dark {
			if to.up {
				s.checkVote(msg.Spec(), to)
			}
			s.step(to, quorum.NewReceive(msg))
		}
	})
}

// persist queues a write and starts a sync if none is running.
func (s *cellSim) persist(vm *simVM, eff quorum.Persist) {
	vm.queue = append(vm.queue, eff)
	if !vm.syncing {
		s.sync(vm)
	}
}

// sync syncs all queued writes together, after the time of a sync.
func (s *cellSim) sync(vm *simVM) {
	vm.syncing = true
	incarnation, count := vm.incarnation, len(vm.queue)
	s.after(max(vm.hangsUntil-s.now, 0)+vm.syncTime, func() {
		switch {
		case vm.incarnation != incarnation:
			return
		case vm.failed:
			s.step(vm, quorum.NewHalt(&quorum.TransferError{}))
			return
		}
		done := vm.queue[:count]
		vm.queue, vm.syncing = vm.queue[count:], false
		for _, eff := range done {
			vm.disk.write(eff)
		}
		if len(vm.queue) > 0 {
			s.sync(vm)
		}
		s.step(vm, quorum.NewPersisted(done[count-1].Seq()))
	})
}

// write adds what a Persist writes.
func (d *simDisk) write(eff quorum.Persist) {
	d.hard = eff.HardState()
	for _, ent := range eff.Entries() {
		d.ents = append(d.ents[:ent.Index()-1:ent.Index()-1], ent)
	}
}

// apply applies an entry and acknowledges it if this VM accepted its proposal.
func (s *cellSim) apply(vm *simVM, ent quorum.Entry) {
	vm.applied = append(vm.applied, ent)
	if ent.Kind() == quorum.EntryMembers {
		if vm.node.Role(s.instant()).Leading() {
			s.changes++
		}
		s.endChange(vm, false)
	}
	for len(vm.pending) > 0 && vm.pending[0].Index() <= ent.Index() {
		if vm.pending[0].Index() == ent.Index() && vm.pending[0].Term() == ent.Term() {
			s.acknowledge(vm, ent)
		}
		vm.pending = vm.pending[1:]
	}
}

// acknowledge checks that an entry that is being acknowledged is on the disks of
// more voters than may be lost. A disk that was lost since the entry was written to it
// counts: it is one of those that may be lost.
func (s *cellSim) acknowledge(ldr *simVM, ent quorum.Entry) {
	s.acked[ent.Index()] = ent.Term()
	mems := ldr.node.Members()
	copies := 0
	for _, vm := range s.vms {
		mem, _ := mems.Find(vm.id)
		for _, dsk := range []*simDisk{vm.disk, vm.lostDisk} {
			if dsk != nil && mem.Voter() && mem.Disk() == dsk.id && dsk.holds(ent.Index(), ent.Term()) {
				copies++
			}
		}
	}
	s.fewest = min(s.fewest, copies)
	if copies <= s.losses {
		s.fail("entry %d acknowledged by %s with %d copies, %d disks may be lost; members %v", ent.Index(), ldr.id, copies, s.losses, mems)
	}
}

func (s *cellSim) fail(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// announce announces vm to the VMs that lead.
func (s *cellSim) announce(vm *simVM) {
	if vm.node.Role(s.instant()).Failed() {
		return
	}
	for _, ldr := range s.vms {
		if !vm.dark && !ldr.dark && ldr.up && ldr.leading {
			ldr.repair.Announce(Presence{VM: vm.id, Centre: vm.centre, Disk: vm.disk.id, Heard: s.instant()})
		}
	}
}

// maintain makes the next membership change that Repair chooses.
func (s *cellSim) maintain(vm *simVM) {
	now := s.instant()
	if !vm.node.Role(now).Leading() || vm.changeEnd > s.now {
		return
	}
	if !vm.leading {
		vm.leading, vm.changeEnd = true, 0
		vm.repair.Start(now)
	}
	s.endChange(vm, true)
	if chg, ok := vm.repair.Next(now, vm.id, vm.node.Members()); ok {
		vm.change, vm.changeEnd = chg, s.now+changeTimeout
		s.step(vm, quorum.NewProposeChange(0, chg).WithTimeout(changeTimeout))
	}
}

// endChange ends the wait for a membership change, if there is one.
func (s *cellSim) endChange(vm *simVM, failed bool) {
	if vm.changeEnd > 0 && failed {
		vm.repair.Failed(s.instant(), vm.change)
	}
	vm.changeEnd = 0
}

// leader returns the VM that holds the lease, or nil.
func (s *cellSim) leader() *simVM {
	for _, vm := range s.vms {
		if vm.up && vm.node.Role(s.instant()).Leased() {
			return vm
		}
	}
	return nil
}

// awaitLeader returns the VM that holds the lease within limit, or nil.
func (s *cellSim) awaitLeader(limit time.Duration) *simVM {
	for end := s.now + limit; s.now < end; {
		if ldr := s.leader(); ldr != nil {
			return ldr
		}
		s.run(10 * time.Millisecond)
	}
	return nil
}

// propose proposes a command to the leader every 20 ms for the given time.
func (s *cellSim) propose(d time.Duration) {
	for end := s.now + d; s.now < end; s.run(20 * time.Millisecond) {
		if ldr := s.leader(); ldr != nil {
			s.lastID++
			s.step(ldr, quorum.NewPropose(quorum.NewProposal(s.lastID, []byte("command"))))
		}
	}
}

// describe returns the state of every VM for a failure message.
func (s *cellSim) describe() string {
	out := ""
	for _, vm := range s.vms {
		out += fmt.Sprintf("%s up=%v dark=%v wiped=%v disk=%s log=%d", vm.id, vm.up, vm.dark, vm.wiped, vm.disk.id, len(vm.disk.ents))
		if vm.node != nil {
			ro := vm.node.Role(s.instant())
			out += fmt.Sprintf(" term=%d leading=%v leased=%v commit=%d members=%v", ro.Term(), ro.Leading(), ro.Leased(), vm.node.Commit(), vm.node.Members())
		}
		out += "\n"
	}
	return out
}
