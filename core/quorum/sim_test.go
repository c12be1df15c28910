package quorum

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavarail/core/model"
)

// timer is a function that runs at a simulated time. seq orders timers with the
// same time.
type timer struct {
	at  time.Duration
	seq int
	run func()
}

// timerQueue is a heap of timers.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simNode is one VM with its disk and clock.
type simNode struct {
	vm   model.VMID
	node *Node
	disk *simDisk
	// incarnation is incremented at each start and each crash, so that timers and
	// store responses of an earlier value are dropped.
	incarnation int
	up          bool
	// paused: the node gets no ticks, and its other inputs wait. Clock and disk
	// continue.
	paused bool
	// offset and rate define the local clock, which shows offset at simulated
	// time 0 and then advances rate times as fast as the simulated time.
	offset time.Duration
	rate   float64
	// state holds the data of all applied commands.
	state []byte
	// applied is the last entry applied to state.
	applied uint64
	// pending holds the accepted proposals that are not applied yet.
	pending []Accepted
	// syncsUntilCrash is the number of the sync, counted from now, at which the
	// VM crashes, or 0 for none.
	syncsUntilCrash int
	// rejections is the number of rejected requests.
	rejections int
}

// sim simulates a group with its VMs, clocks, disks and network.
type sim struct {
	rnd   *rand.Rand
	now   time.Duration
	queue timerQueue
	seq   int
	vms   []model.VMID
	nodes map[model.VMID]*simNode
	// blocked holds the links, from sender to receiver, that drop all messages.
	blocked map[[2]model.VMID]bool
	// loss and duplicate are percentages of the messages.
	loss      int
	duplicate int
	// slow delays a quarter of the messages by up to 3 s.
	slow   bool
	oracle oracle
	// voters are the initial voters.
	voters []model.VMID
	// minCopies is Config.MinCopies of every VM.
	minCopies int
	// disks is the number of disks created, which exceeds that of the VMs once a
	// disk has been replaced.
	disks int
	// lastID is the identifier of the last proposal.
	lastID uint64
}

func newSim(seed uint64, voters, learners int) *sim {
	return newSimWithCopies(seed, voters, learners, 0)
}

func newSimWithCopies(seed uint64, voters, learners, minCopies int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), minCopies: minCopies,
		nodes: map[model.VMID]*simNode{}, blocked: map[[2]model.VMID]bool{},
	}
	s.oracle.leaders = map[uint64]string{}
	for pos := range voters + learners {
		s.vms = append(s.vms, model.VMID(rune('a'+pos)))
	}
	s.voters = s.vms[:voters]
	for _, vm := range s.vms {
		nod := &simNode{vm: vm, disk: s.newDisk()}
		nod.offset = time.Duration(s.rnd.Int64N(int64(time.Hour)))
		nod.rate = 1 + s.rnd.Float64()/model.DriftDivisor
		s.nodes[vm] = nod
	}
	for _, vm := range s.vms {
		s.start(s.nodes[vm])
	}
	return s
}

func (s *sim) newDisk() *simDisk {
	s.disks++
	return &simDisk{id: DiskID(fmt.Sprintf("disk%d", s.disks))}
}

// localTime returns the time on the clock of a VM.
func (s *sim) localTime(nod *simNode) model.Instant {
	return nod.timeAt(s.now)
}

// timeAt returns the time on the clock of the VM at a simulated time.
func (nod *simNode) timeAt(at time.Duration) model.Instant {
	return model.Instant(nod.offset + time.Duration(float64(at)*nod.rate))
}

// after runs a function after the given simulated time.
func (s *sim) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timer{at: s.now + delay, seq: s.seq, run: run})
}

// start starts a VM from the content of its disk.
func (s *sim) start(nod *simNode) {
	nod.incarnation++
	nod.up, nod.paused, nod.syncsUntilCrash, nod.pending = true, false, 0, nil
	nod.state, nod.applied = slices.Clone(nod.disk.data), nod.disk.snap.index
	nod.node = NewNode(Config{
		Self: nod.vm, Disk: nod.disk.id, Voters: s.voters, Learners: s.vms[len(s.voters):], MinCopies: s.minCopies, Seed: s.rnd.Uint64(),
		SnapshotEntries: 20, ChunkBytes: 40, Stored: nod.disk.storedState(),
	})
	s.tick(nod, nod.incarnation)
}

// tick steps the node with a Tick every 25 ms until the VM crashes.
func (s *sim) tick(nod *simNode, incarnation int) {
	if nod.incarnation != incarnation || !nod.up {
		return
	}
	if !nod.paused {
		s.step(nod, Tick{})
	}
	s.after(25*time.Millisecond, func() { s.tick(nod, incarnation) })
}

// crash stops a VM. A random prefix of each disk queue is still written.
func (s *sim) crash(nod *simNode) {
	if !nod.up {
		return
	}
	nod.up = false
	nod.incarnation++
	for _, q := range []*[]diskOp{&nod.disk.logQueue, &nod.disk.snapQueue} {
		for _, op := range (*q)[:s.rnd.IntN(len(*q)+1)] {
			op.write()
		}
		*q = nil
	}
	nod.disk.partial = nil
}

// step passes an input to the node of a VM and executes the effects. While the VM
// is paused, step tries again every 10 ms.
func (s *sim) step(nod *simNode, in Input) {
	if !nod.up {
		return
	}
	if nod.paused {
		incarnation := nod.incarnation
		s.after(10*time.Millisecond, func() {
			if nod.incarnation == incarnation {
				s.step(nod, in)
			}
		})
		return
	}
	for _, eff := range nod.node.Step(s.localTime(nod), in) {
		s.perform(nod, eff)
	}
	s.oracle.checkLease(s)
}

// perform executes one effect of a node.
func (s *sim) perform(nod *simNode, eff Effect) {
	switch val := eff.(type) {
	case Send:
		s.send(val.msg)
	case SendChunk:
		spec := val.msg.spec
		if spec.Snapshot.index == nod.disk.snap.index {
			spec.Data = slices.Clone(nod.disk.data[spec.Offset : spec.Offset+val.length])
			s.send(NewMessage(spec))
		}
	case Persist:
		s.write(nod, &nod.disk.logQueue, func() { nod.disk.append(val.hardState, val.entries) }, NewPersisted(val.seq))
	case Compact:
		s.write(nod, &nod.disk.logQueue, func() {
			nod.disk.hard, nod.disk.entries = val.stored.hardState, slices.Clone(val.stored.entries)
		}, NewPersisted(val.seq))
	case TakeSnapshot:
		data := slices.Clone(nod.state)
		snap := val.snap.WithSize(uint64(len(data)))
		s.write(nod, &nod.disk.snapQueue, func() { nod.disk.save(snap, data) }, NewSnapshotSaved(snap))
	case StoreChunk:
		end := val.offset + uint64(len(val.data))
		s.write(nod, &nod.disk.snapQueue, func() { nod.disk.receive(val) }, NewChunkStored(val.from, val.snap, end))
	case InstallSnapshot:
		nod.state, nod.applied = slices.Clone(nod.disk.data), val.snap.index
		s.oracle.checkInstalled(nod, val.snap)
	case Apply:
		s.oracle.checkApplied(nod, val.entry)
		s.checkCopies(nod, val.entry)
	case Accepted:
		nod.pending = append(nod.pending, val)
	case Rejected:
		nod.rejections++
	case RoleChanged:
		s.oracle.checkRole(nod, val.role)
	}
}

// write adds an operation to a disk queue. It is executed after a random delay of
// at most 30 ms, in the order of the queue, and the node then receives reply.
func (s *sim) write(nod *simNode, q *[]diskOp, write func(), reply Input) {
	*q = append(*q, diskOp{write: write, reply: func() { s.step(nod, reply) }})
	incarnation := nod.incarnation
	s.after(time.Duration(1+s.rnd.IntN(30))*time.Millisecond, func() {
		if nod.incarnation == incarnation {
			s.sync(nod, q)
		}
	})
}

// sync executes all operations of a disk queue as one sync of the disk, and then
// sends the node their replies. If the sync is the one at which the VM crashes,
// sync crashes it instead.
func (s *sim) sync(nod *simNode, q *[]diskOp) {
	ops := *q
	if len(ops) == 0 {
		return
	}
	if nod.syncsUntilCrash > 0 {
		nod.syncsUntilCrash--
		if nod.syncsUntilCrash == 0 {
			s.crash(nod)
			return
		}
	}
	*q = nil
	for _, op := range ops {
		op.write()
	}
	for _, op := range ops {
		op.reply()
	}
}

// send delivers a message after a random delay. It may be duplicated or lost.
func (s *sim) send(msg Message) {
	copies := 1
	if s.rnd.IntN(100) < s.duplicate {
		copies = 2
	}
	for range copies {
		if s.rnd.IntN(100) < s.loss {
			continue
		}
		delay := time.Duration(s.rnd.IntN(4000)) * time.Microsecond
		if s.slow && s.rnd.IntN(4) == 0 {
			delay = time.Duration(s.rnd.IntN(3000)) * time.Millisecond
		}
		s.after(delay, func() {
			if nod := s.nodes[msg.To()]; nod != nil && !s.blocked[[2]model.VMID{msg.From(), msg.To()}] {
				s.step(nod, NewReceive(msg))
			}
		})
	}
}

// run advances the simulated time and runs the timers that are due.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		tm := heap.Pop(&s.queue).(timer)
		s.now = tm.at
		tm.run()
	}
	s.now = end
	s.oracle.checkLease(s)
}

// propose proposes one new command to the replica of a VM.
func (s *sim) propose(nod *simNode) {
	s.lastID++
	s.step(nod, NewPropose(NewProposal(s.lastID, []byte(fmt.Sprintf("%08d", s.lastID)))))
}

// leader returns the VM that holds the leader lease and is not paused, or nil.
func (s *sim) leader() *simNode {
	for _, vm := range s.vms {
		if nod := s.nodes[vm]; nod.up && !nod.paused && nod.node.Role(s.localTime(nod)).Leased() {
			return nod
		}
	}
	return nil
}

// healAndAwaitLeader repairs the network, resumes paused VMs, restarts those that
// crashed or whose Node.Err is not nil, and returns the leader, or nil if no VM
// holds the lease within limit.
func (s *sim) healAndAwaitLeader(limit time.Duration) *simNode {
	clear(s.blocked)
	s.loss, s.duplicate, s.slow = 0, 0, false
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		nod.paused, nod.syncsUntilCrash = false, 0
		if nod.up && nod.node.Err() != nil {
			s.crash(nod)
		}
		if !nod.up {
			s.start(nod)
		}
	}
	for end := s.now + limit; s.now < end; {
		s.run(50 * time.Millisecond)
		if nod := s.leader(); nod != nil {
			return nod
		}
	}
	return nil
}
