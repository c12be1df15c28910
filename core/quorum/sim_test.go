package quorum

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavarail/core/model"
)

// job is one thing that happens later in a simulation.
type job struct {
	at  time.Duration
	seq int
	run func()
}

type jobQueue []job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *jobQueue) Push(x any)   { *q = append(*q, x.(job)) }
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simNode is one VM.
type simNode struct {
	vm   model.VMID
	node *Node
	disk *simDisk
	// life counts restarts; answers and messages of an older life are lost.
	life   int
	up     bool
	paused bool
	// offset and rate make the local clock.
	offset time.Duration
	rate   float64
	state  []byte
	// last is the last entry in state.
	last    uint64
	pending []Accepted
	// crashAt is the number of syncs until a crash, or 0.
	crashAt int
	rejects int
}

// sim is a group whose VMs, clocks, disks and links are simulated.
type sim struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  jobQueue
	seq    int
	vms    []model.VMID
	nodes  map[model.VMID]*simNode
	cut    map[[2]model.VMID]bool
	loss   int
	repeat int
	slow   bool
	oracle oracle
	voters []model.VMID
	disks  int
	nextID uint64
}

func newSim(seed uint64, voters, learners int) *sim {
	s := &sim{
		rnd:   rand.New(rand.NewPCG(seed, 1)),
		nodes: map[model.VMID]*simNode{}, cut: map[[2]model.VMID]bool{},
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

func (s *sim) local(nod *simNode) model.Instant {
	return model.Instant(nod.offset + time.Duration(float64(s.now)*nod.rate))
}

func (s *sim) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, job{at: s.now + delay, seq: s.seq, run: run})
}

// start runs a VM from what its disk holds.
func (s *sim) start(nod *simNode) {
	nod.life++
	nod.up, nod.paused, nod.crashAt, nod.pending = true, false, 0, nil
	nod.state, nod.last = slices.Clone(nod.disk.data), nod.disk.snap.index
	nod.node = NewNode(Config{
		Self: nod.vm, Disk: nod.disk.id, Voters: s.voters, Learners: s.vms[len(s.voters):], Seed: s.rnd.Uint64(),
		SnapshotEntries: 20, PieceBytes: 40, Saved: nod.disk.saved(),
	})
	s.tick(nod, nod.life)
}

func (s *sim) tick(nod *simNode, life int) {
	if nod.life != life || !nod.up {
		return
	}
	if !nod.paused {
		s.step(nod, Tick{})
	}
	s.after(25*time.Millisecond, func() { s.tick(nod, life) })
}

// crash ends a VM. Part of what was queued for the disk may have been written.
func (s *sim) crash(nod *simNode) {
	if !nod.up {
		return
	}
	nod.up = false
	nod.life++
	for _, q := range []*[]diskOp{&nod.disk.logQueue, &nod.disk.snapQueue} {
		for _, op := range (*q)[:s.rnd.IntN(len(*q)+1)] {
			op.write()
		}
		*q = nil
	}
	nod.disk.piece = nil
}

func (s *sim) step(nod *simNode, in Input) {
	if !nod.up {
		return
	}
	if nod.paused {
		life := nod.life
		s.after(10*time.Millisecond, func() {
			if nod.life == life {
				s.step(nod, in)
			}
		})
		return
	}
	for _, eff := range nod.node.Step(s.local(nod), in) {
		s.carry(nod, eff)
	}
	s.oracle.check(s)
}

func (s *sim) carry(nod *simNode, eff Effect) {
	switch val := eff.(type) {
	case Send:
		s.send(val.msg)
	case SendPiece:
		spec := val.msg.spec
		if spec.Snapshot.index == nod.disk.snap.index {
			spec.Data = slices.Clone(nod.disk.data[spec.Offset : spec.Offset+val.length])
			s.send(NewMessage(spec))
		}
	case Persist:
		s.write(nod, &nod.disk.logQueue, func() { nod.disk.append(val.hard, val.entries) }, NewPersisted(val.seq))
	case Compact:
		s.write(nod, &nod.disk.logQueue, func() {
			nod.disk.hard, nod.disk.entries = val.saved.hard, slices.Clone(val.saved.entries)
		}, NewPersisted(val.seq))
	case TakeSnapshot:
		data := slices.Clone(nod.state)
		snap := val.snap.WithSize(uint64(len(data)))
		s.write(nod, &nod.disk.snapQueue, func() { nod.disk.save(snap, data) }, NewSnapshotSaved(snap))
	case StorePiece:
		end := val.offset + uint64(len(val.data))
		s.write(nod, &nod.disk.snapQueue, func() { nod.disk.receive(val) }, NewPieceStored(val.from, val.snap, end))
	case Install:
		nod.state, nod.last = slices.Clone(nod.disk.data), val.snap.index
		s.oracle.installed(nod, val.snap)
	case Apply:
		s.oracle.applied(nod, val.entry)
	case Accepted:
		nod.pending = append(nod.pending, val)
	case Refused:
		nod.rejects++
	case RoleChanged:
		s.oracle.role(nod, val.role)
	}
}

// write queues a disk operation; it is carried out and answered later, in
// order with the others of its queue.
func (s *sim) write(nod *simNode, q *[]diskOp, write func(), answer Input) {
	*q = append(*q, diskOp{write: write, answer: func() { s.step(nod, answer) }})
	life := nod.life
	s.after(time.Duration(1+s.rnd.IntN(30))*time.Millisecond, func() {
		if nod.life == life {
			s.sync(nod, q)
		}
	})
}

// sync carries out all that is queued, as a group commit does.
func (s *sim) sync(nod *simNode, q *[]diskOp) {
	ops := *q
	if len(ops) == 0 {
		return
	}
	if nod.crashAt > 0 {
		nod.crashAt--
		if nod.crashAt == 0 {
			s.crash(nod)
			return
		}
	}
	*q = nil
	for _, op := range ops {
		op.write()
	}
	for _, op := range ops {
		op.answer()
	}
}

// send delivers a message late, twice or not at all.
func (s *sim) send(msg Message) {
	copies := 1
	if s.rnd.IntN(100) < s.repeat {
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
			if nod := s.nodes[msg.To()]; nod != nil && !s.cut[[2]model.VMID{msg.From(), msg.To()}] {
				s.step(nod, NewReceive(msg))
			}
		})
	}
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		jb := heap.Pop(&s.queue).(job)
		s.now = jb.at
		jb.run()
	}
	s.now = end
	s.oracle.check(s)
}

// propose proposes one new command at a VM.
func (s *sim) propose(nod *simNode) {
	s.nextID++
	s.step(nod, NewPropose(NewProposal(s.nextID, []byte(fmt.Sprintf("%08d", s.nextID)))))
}

// leader returns a VM that leads under its lease, if there is one.
func (s *sim) leader() *simNode {
	for _, vm := range s.vms {
		if nod := s.nodes[vm]; nod.up && !nod.paused && nod.node.Role(s.local(nod)).Leased() {
			return nod
		}
	}
	return nil
}

// settle heals everything and waits for a leader, at most the given time.
func (s *sim) settle(limit time.Duration) *simNode {
	clear(s.cut)
	s.loss, s.repeat, s.slow = 0, 0, false
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		nod.paused, nod.crashAt = false, 0
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
