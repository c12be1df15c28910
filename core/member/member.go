// Package member detects VMs that fail. Each VM probes one other VM in a
// period, in a random order that repeats, so that its cost does not grow with
// the number of VMs. A VM that does not answer is probed by others as well; it
// is declared dead when it contradicts neither in time, and only if another VM
// got no answer either.
package member

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// Defaults of Config. With 7 VMs each VM probes every other one within 6
// periods, the probe ends a period later and suspicion lasts 3 periods, so a
// dead VM is declared dead by all within 2.5 s and two ticks.
const (
	DefaultPeriod = 250 * time.Millisecond
	// DefaultTick is the interval in which Tick is expected.
	DefaultTick = 50 * time.Millisecond
)

const (
	// helpers is the number of VMs that are asked to probe a silent VM.
	helpers = 3
	// minSuspicion is the shortest time in periods that a VM has to contradict.
	minSuspicion = 3
)

// Config describes one VM. The zero value is a VM without a name.
type Config struct {
	Self model.VMID
	// Peers are the other VMs.
	Peers []model.VMID
	// Period is the time between two probes; 0 means DefaultPeriod.
	Period time.Duration
	// Seed fixes the order of probes and the choice of helpers.
	Seed uint64
	// Incarnation must not be lower than in an earlier run of the VM, or the VM
	// counts as dead until it has heard so and contradicted.
	Incarnation uint64
}

// peer is what the VM knows of another one.
type peer struct {
	vm          model.VMID
	state       State
	incarnation uint64
	// since is when the suspicion began; valid while state is Suspect.
	since model.Instant
	// silent is true when the last own probe got no answer, directly or through
	// helpers. It is false while state is Alive.
	silent bool
	// witnessed is true when a helper reported no answer to that probe either.
	witnessed bool
}

// Node is the failure detector of one VM. It implements model.Machine.
type Node struct {
	cfg         Config
	incarnation uint64
	rng         source
	seq         uint64
	// peers is ordered by name.
	peers []*peer
	// order holds each peer once, in the order in which they are probed.
	order []*peer
	// next is the place in order of the next probe.
	next int
	// urgent holds suspects that were not yet found silent by this VM.
	urgent []*peer
	// regular and extra are the probes under way: one in the order, and one of
	// a suspect.
	regular, extra *probe
	relays         []relay
	rumors         []rumor
	started        bool
	lastTick       model.Instant
	nextProbe      model.Instant
	out            []Effect
}

// New returns the failure detector of a VM.
func New(cfg Config) *Node {
	if cfg.Period <= 0 {
		cfg.Period = DefaultPeriod
	}
	nod := &Node{cfg: cfg, incarnation: cfg.Incarnation, rng: source(cfg.Seed)}
	nod.setPeers(cfg.Peers)
	return nod
}

// Step implements model.Machine.
func (nod *Node) Step(now model.Instant, in Input) []Effect {
	nod.out = nil
	switch val := in.(type) {
	case Tick:
		nod.tick(now)
	case Received:
		nod.receive(now, val.From, val.Message)
	case Peers:
		nod.setPeers(val.VMs)
	}
	return nod.out
}

// State returns the state of a VM.
func (nod *Node) State(vm model.VMID) State {
	if pe := nod.find(vm); pe != nil {
		return pe.state
	}
	if vm == nod.cfg.Self {
		return Alive
	}
	return Unknown
}

// All returns the state of every other VM, ordered by name.
func (nod *Node) All() []News {
	out := make([]News, 0, len(nod.peers))
	for _, pe := range nod.peers {
		out = append(out, pe.news())
	}
	return out
}

// Incarnation returns the incarnation of the VM itself.
func (nod *Node) Incarnation() uint64 { return nod.incarnation }

// setPeers replaces the set of other VMs and keeps what is known of those that
// remain.
func (nod *Node) setPeers(vms []model.VMID) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	vms = slices.Compact(vms)
	gone := func(pe *peer) bool { return !slices.Contains(vms, pe.vm) }
	nod.peers = slices.DeleteFunc(nod.peers, gone)
	nod.order = slices.DeleteFunc(nod.order, gone)
	nod.urgent = slices.DeleteFunc(nod.urgent, gone)
	for _, vm := range vms {
		if vm == nod.cfg.Self || nod.find(vm) != nil {
			continue
		}
		pe := &peer{vm: vm}
		nod.peers = append(nod.peers, pe)
		nod.order = slices.Insert(nod.order, nod.rng.below(len(nod.order)+1), pe)
	}
	slices.SortFunc(nod.peers, func(one, two *peer) int { return cmp.Compare(one.vm, two.vm) })
	nod.rumors = slices.DeleteFunc(nod.rumors, func(ru rumor) bool {
		return nod.find(ru.vm) == nil
	})
}

func (nod *Node) find(vm model.VMID) *peer {
	at, ok := slices.BinarySearchFunc(nod.peers, vm, func(pe *peer, vm model.VMID) int { return cmp.Compare(pe.vm, vm) })
	if !ok {
		return nil
	}
	return nod.peers[at]
}

func (pe *peer) news() News { return News{vm: pe.vm, state: pe.state, incarnation: pe.incarnation} }

// source is a splitmix64 generator.
type source uint64

// below returns a number from 0 to num-1.
func (so *source) below(num int) int {
	*so += 0x9E3779B97F4A7C15
	val := uint64(*so)
	val = (val ^ val>>30) * 0xBF58476D1CE4E5B9
	val = (val ^ val>>27) * 0x94D049BB133111EB
	return int((val ^ val>>31) % uint64(num))
}
