// Package member is a SWIM-style failure detector. In each period a VM probes one
// other VM, round robin in a random order, so that the load on a VM does not grow
// with the number of VMs. If the target does not answer, the VM asks up to three
// others, the helpers, to probe it too. If the period ends without an answer, it makes
// the target a suspect and spreads that as an update on its messages to other VMs. A
// suspect is declared dead if it does not refute the suspicion in time, and only if a
// helper confirms that it got no answer either.
//
// The incarnation of a VM is a number that orders the updates about it. Only the VM
// itself raises it, to refute that it is suspect or dead.
package member

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// Defaults of Config. With 7 VMs each VM starts a probe of every other VM within 6
// periods, a probe ends after one period and a suspicion after 3 periods, so all
// VMs declare a failed VM dead within 2.5 s and two ticks.
const (
	DefaultPeriod = 250 * time.Millisecond
	// DefaultTick is the interval at which the caller should send Tick.
	DefaultTick = 50 * time.Millisecond
)

const (
	// maxHelpers is the number of helpers: VMs that are asked to probe a VM that
	// has not answered.
	maxHelpers = 3
	// minSuspicionPeriods is the shortest time that a VM has to refute a suspicion,
	// in periods.
	minSuspicionPeriods = 3
)

// Config configures the failure detector of one VM.
type Config struct {
	// Self is the name of the VM.
	Self model.VMID
	// Peers are the other VMs.
	Peers []model.VMID
	// Period is the time between the starts of two probes; 0 means DefaultPeriod.
	Period time.Duration
	// Seed determines the order of probes and the choice of helpers.
	Seed uint64
	// Incarnation is the incarnation with which the VM starts. It must not be lower
	// than before a restart. Unless it is higher, others that declared the VM dead
	// see it as dead until it receives that state and refutes it.
	Incarnation uint64
}

// peer is the state of another VM as seen by this one.
type peer struct {
	vm          model.VMID
	state       State
	incarnation uint64
	// suspectSince is the start of the suspicion; valid while state is Suspect.
	suspectSince model.Instant
	// probeFailed is true if the last probe by this VM that ended got no answer,
	// neither directly nor through helpers. It is false while state is Alive.
	probeFailed bool
	// confirmed is true if, in addition, a helper reported with a Nack that it got no
	// answer during that probe either.
	confirmed bool
}

// Detector is the failure detector of one VM. It implements model.Machine.
type Detector struct {
	cfg         Config
	incarnation uint64
	rng         splitmix
	// seq is the sequence number of the last probe that was started, those on
	// behalf of other VMs included.
	seq uint64
	// peers is ordered by name.
	peers []*peer
	// probeOrder holds each peer once, in the order in which they are probed.
	probeOrder []*peer
	// nextIndex is the index in probeOrder of the next peer to probe; it may be
	// beyond the end.
	nextIndex int
	// extraQueue holds suspects to probe in addition to probeOrder.
	extraQueue []*peer
	// regular is the current probe of a peer of probeOrder, extra that of a peer of
	// extraQueue; nil if there is none.
	regular, extra *probe
	// relays are the probes in progress on behalf of other VMs.
	relays []relay
	// broadcasts are the updates to piggyback, at most one about each VM.
	broadcasts []broadcast
	// started is true after the first tick.
	started  bool
	lastTick model.Instant
	// nextProbe is the earliest start of the next probes.
	nextProbe model.Instant
	// out collects the effects of the current step.
	out []Effect
}

// New returns the failure detector of a VM.
func New(cfg Config) *Detector {
	if cfg.Period <= 0 {
		cfg.Period = DefaultPeriod
	}
	det := &Detector{cfg: cfg, incarnation: cfg.Incarnation, rng: splitmix(cfg.Seed)}
	det.setPeers(cfg.Peers)
	return det
}

// Step implements model.Machine.
func (det *Detector) Step(now model.Instant, in Input) []Effect {
	det.out = nil
	switch val := in.(type) {
	case Tick:
		det.handleTick(now)
	case Received:
		det.handleMessage(now, val.From, val.Message)
	case SetPeers:
		det.setPeers(val.VMs)
	}
	return det.out
}

// State returns the state of a VM as this VM sees it: Alive for itself, and Unknown for
// any other VM that is not a peer.
func (det *Detector) State(vm model.VMID) State {
	if pe := det.find(vm); pe != nil {
		return pe.state
	}
	if vm == det.cfg.Self {
		return Alive
	}
	return Unknown
}

// States returns the state and incarnation of every other VM, ordered by name.
func (det *Detector) States() []Update {
	out := make([]Update, 0, len(det.peers))
	for _, pe := range det.peers {
		out = append(out, pe.update())
	}
	return out
}

// Incarnation returns the current incarnation of this VM.
func (det *Detector) Incarnation() uint64 { return det.incarnation }

// setPeers replaces the set of other VMs. Those that remain keep their state and
// their order in probeOrder; new ones are inserted at random.
func (det *Detector) setPeers(vms []model.VMID) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	vms = slices.Compact(vms)
	removed := func(pe *peer) bool { return !slices.Contains(vms, pe.vm) }
	det.peers = slices.DeleteFunc(det.peers, removed)
	det.probeOrder = slices.DeleteFunc(det.probeOrder, removed)
	det.extraQueue = slices.DeleteFunc(det.extraQueue, removed)
	for _, vm := range vms {
		if vm == det.cfg.Self || det.find(vm) != nil {
			continue
		}
		pe := &peer{vm: vm}
		det.peers = append(det.peers, pe)
		det.probeOrder = slices.Insert(det.probeOrder, det.rng.intN(len(det.probeOrder)+1), pe)
	}
	slices.SortFunc(det.peers, func(one, two *peer) int { return cmp.Compare(one.vm, two.vm) })
	det.broadcasts = slices.DeleteFunc(det.broadcasts, func(bc broadcast) bool {
		return det.find(bc.vm) == nil
	})
}

// find returns the peer with the given name, or nil.
func (det *Detector) find(vm model.VMID) *peer {
	idx, ok := slices.BinarySearchFunc(det.peers, vm, func(pe *peer, vm model.VMID) int { return cmp.Compare(pe.vm, vm) })
	if !ok {
		return nil
	}
	return det.peers[idx]
}

// update returns the state of pe as an update for other VMs.
func (pe *peer) update() Update {
	return Update{vm: pe.vm, state: pe.state, incarnation: pe.incarnation}
}

// splitmix is a SplitMix64 random number generator; its value is the state.
type splitmix uint64

// intN returns a random number from 0 to num-1.
func (sm *splitmix) intN(num int) int {
	*sm += 0x9E3779B97F4A7C15
	val := uint64(*sm)
	val = (val ^ val>>30) * 0xBF58476D1CE4E5B9
	val = (val ^ val>>27) * 0x94D049BB133111EB
	return int((val ^ val>>31) % uint64(num))
}
