package member

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"guavarail/core/model"
)

// packet is a message under way, or a tick of its receiver when it has no
// sender.
type packet struct {
	at       model.Instant
	order    int
	from, to int
	msg      Message
}

type packets []packet

func (ps packets) Len() int { return len(ps) }
func (ps packets) Less(one, two int) bool {
	return ps[one].at < ps[two].at || (ps[one].at == ps[two].at && ps[one].order < ps[two].order)
}
func (ps packets) Swap(one, two int) { ps[one], ps[two] = ps[two], ps[one] }
func (ps *packets) Push(val any)     { *ps = append(*ps, val.(packet)) }
func (ps *packets) Pop() any {
	last := (*ps)[len(*ps)-1]
	*ps = (*ps)[:len(*ps)-1]
	return last
}

// simNet runs VMs over a network that loses, delays, repeats and cuts.
type simNet struct {
	rng   *rand.Rand
	now   model.Instant
	queue packets
	count int
	nodes []*Node
	// up is false for a VM that is down; its node stays for its incarnation.
	up []bool
	// cut holds the directed pairs whose messages are lost.
	cut map[[2]int]bool
	// loss and repeat are percentages, delay is the longest delay.
	loss, repeat int
	delay        time.Duration
	// changed is called with each change that a VM sees.
	changed func(on int, ch Changed)
	// sent is called with each message that is sent.
	sent func(on int, msg Message)
}

func name(num int) model.VMID { return model.VMID("vm" + strconv.Itoa(num)) }

func newSimNet(seed uint64, num int) *simNet {
	net := &simNet{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, delay: 5 * time.Millisecond,
		nodes: make([]*Node, num), up: make([]bool, num),
		changed: func(int, Changed) {}, sent: func(int, Message) {},
	}
	for at := range num {
		net.start(at, 0)
	}
	return net
}

// start starts VM at with a random phase of its ticks.
func (net *simNet) start(at int, incarnation uint64) {
	var peers []model.VMID
	for other := range net.nodes {
		if other != at {
			peers = append(peers, name(other))
		}
	}
	net.nodes[at] = New(Config{Self: name(at), Peers: peers, Seed: net.rng.Uint64(), Incarnation: incarnation})
	net.up[at] = true
	net.push(packet{at: net.now + net.within(DefaultTick), from: -1, to: at})
}

func (net *simNet) within(dur time.Duration) model.Instant {
	return model.Instant(net.rng.Int64N(int64(dur) + 1))
}

func (net *simNet) push(pac packet) {
	net.count++
	pac.order = net.count
	heap.Push(&net.queue, pac)
}

// run lets time pass.
func (net *simNet) run(dur time.Duration) {
	end := net.now.Add(dur)
	for len(net.queue) > 0 && net.queue[0].at <= end {
		pac := heap.Pop(&net.queue).(packet)
		net.now = pac.at
		switch {
		case pac.from < 0 && net.up[pac.to]:
			net.step(pac.to, Tick{})
			net.push(packet{at: net.now.Add(DefaultTick), from: -1, to: pac.to})
		case pac.from >= 0 && net.up[pac.to] && !net.cut[[2]int{pac.from, pac.to}]:
			net.step(pac.to, Received{From: name(pac.from), Message: pac.msg})
		}
	}
	net.now = end
}

func (net *simNet) step(at int, in Input) {
	for _, eff := range net.nodes[at].Step(net.now, in) {
		switch val := eff.(type) {
		case Changed:
			net.changed(at, val)
		case Send:
			net.sent(at, val.Message())
			net.transmit(at, val)
		}
	}
}

func (net *simNet) transmit(at int, se Send) {
	to, _ := strconv.Atoi(string(se.To()[2:]))
	if net.rng.IntN(100) < net.loss {
		return
	}
	for again := true; again; again = net.rng.IntN(100) < net.repeat {
		net.push(packet{at: net.now + net.within(net.delay), from: at, to: to, msg: se.Message()})
	}
}

// down stops VM at; ticks that were due are void.
func (net *simNet) down(at int) {
	net.up[at] = false
	kept := net.queue[:0]
	for _, pac := range net.queue {
		if pac.from >= 0 || pac.to != at {
			kept = append(kept, pac)
		}
	}
	net.queue = kept
	heap.Init(&net.queue)
}

// wrong returns a VM whose view of another one is not the truth.
func (net *simNet) wrong() (on, about int, state State, found bool) {
	for on, nod := range net.nodes {
		for about := range net.nodes {
			want := Dead
			if net.up[about] {
				want = Alive
			}
			if net.up[on] && on != about && nod.State(name(about)) != want {
				return on, about, nod.State(name(about)), true
			}
		}
	}
	return 0, 0, Unknown, false
}
