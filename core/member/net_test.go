package member

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"guavarail/core/model"
)

// packet is a message in transit, or a tick of VM to if from is -1.
type packet struct {
	due model.Instant
	// seq orders packets that are due at the same time.
	seq int
	// from and to are indices of simNet.detectors.
	from, to int
	msg      Message
}

// packets is a heap ordered by due time, then seq.
type packets []packet

func (ps packets) Len() int { return len(ps) }
func (ps packets) Less(one, two int) bool {
	return ps[one].due < ps[two].due || (ps[one].due == ps[two].due && ps[one].seq < ps[two].seq)
}
func (ps packets) Swap(one, two int) { ps[one], ps[two] = ps[two], ps[one] }
func (ps *packets) Push(val any)     { *ps = append(*ps, val.(packet)) }
func (ps *packets) Pop() any {
	last := (*ps)[len(*ps)-1]
	*ps = (*ps)[:len(*ps)-1]
	return last
}

// simNet simulates VMs on a network with message loss, delays, duplicates and
// broken links.
type simNet struct {
	rng *rand.Rand
	now model.Instant
	// queue has the messages in transit and the next tick of each running VM.
	queue     packets
	lastSeq   int
	detectors []*Detector
	// up is false for each VM that is stopped. Its detector stays until it is
	// started again.
	up []bool
	// cut holds true for each broken link, a pair of sender and receiver.
	cut map[[2]int]bool
	// loss and duplicate are the percentages of messages that are lost and that are
	// sent once more; delay is the longest delay.
	loss, duplicate int
	delay           time.Duration
	// changed is called with each Changed of VM num, the VM with this index in
	// detectors.
	changed func(num int, ch Changed)
	// sent is called with each message that VM num sends.
	sent func(num int, msg Message)
}

func vmName(num int) model.VMID { return model.VMID("vm" + strconv.Itoa(num)) }

func newSimNet(seed uint64, num int) *simNet {
	net := &simNet{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, delay: 5 * time.Millisecond,
		detectors: make([]*Detector, num), up: make([]bool, num),
		changed: func(int, Changed) {}, sent: func(int, Message) {},
	}
	for idx := range num {
		net.start(idx, 0)
	}
	return net
}

// start starts VM num with empty state and its first tick at a random time.
func (net *simNet) start(num int, incarnation uint64) {
	var peers []model.VMID
	for other := range net.detectors {
		if other != num {
			peers = append(peers, vmName(other))
		}
	}
	net.detectors[num] = New(Config{Self: vmName(num), Peers: peers, Seed: net.rng.Uint64(), Incarnation: incarnation})
	net.up[num] = true
	net.push(packet{due: net.now + net.randomUpTo(DefaultTick), from: -1, to: num})
}

// randomUpTo returns a random duration from 0 to dur, as an Instant that can be added
// to another.
func (net *simNet) randomUpTo(dur time.Duration) model.Instant {
	return model.Instant(net.rng.Int64N(int64(dur) + 1))
}

// push queues a packet.
func (net *simNet) push(pac packet) {
	net.lastSeq++
	pac.seq = net.lastSeq
	heap.Push(&net.queue, pac)
}

// run advances the simulated time by dur.
func (net *simNet) run(dur time.Duration) {
	end := net.now.Add(dur)
	for len(net.queue) > 0 && net.queue[0].due <= end {
		pac := heap.Pop(&net.queue).(packet)
		net.now = pac.due
		switch {
		case pac.from < 0 && net.up[pac.to]:
			net.step(pac.to, Tick{})
			net.push(packet{due: net.now.Add(DefaultTick), from: -1, to: pac.to})
		case pac.from >= 0 && net.up[pac.to] && !net.cut[[2]int{pac.from, pac.to}]:
			net.step(pac.to, Received{From: vmName(pac.from), Message: pac.msg})
		}
	}
	net.now = end
}

// step runs one step of the detector of VM num and carries out its effects.
func (net *simNet) step(num int, in Input) {
	for _, eff := range net.detectors[num].Step(net.now, in) {
		switch val := eff.(type) {
		case Changed:
			net.changed(num, val)
		case Send:
			net.sent(num, val.Message())
			net.transmit(num, val)
		}
	}
}

// transmit puts a message of VM num on the network, subject to loss, delay and
// duplication.
func (net *simNet) transmit(num int, se Send) {
	to, _ := strconv.Atoi(string(se.To()[2:]))
	if net.rng.IntN(100) < net.loss {
		return
	}
	for again := true; again; again = net.rng.IntN(100) < net.duplicate {
		net.push(packet{due: net.now + net.randomUpTo(net.delay), from: num, to: to, msg: se.Message()})
	}
}

// stop stops VM num and removes its queued ticks.
func (net *simNet) stop(num int) {
	net.up[num] = false
	remaining := net.queue[:0]
	for _, pac := range net.queue {
		if pac.from >= 0 || pac.to != num {
			remaining = append(remaining, pac)
		}
	}
	net.queue = remaining
	heap.Init(&net.queue)
}

// mismatch returns the indices of a running VM, the observer, and of another VM, the
// subject, that it sees in the wrong state, and that state. found is false if there
// is none.
func (net *simNet) mismatch() (observer, subject int, state State, found bool) {
	for observer, det := range net.detectors {
		for subject := range net.detectors {
			want := Dead
			if net.up[subject] {
				want = Alive
			}
			if net.up[observer] && observer != subject && det.State(vmName(subject)) != want {
				return observer, subject, det.State(vmName(subject)), true
			}
		}
	}
	return 0, 0, Unknown, false
}
