package member

import (
	"math/bits"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// maxUpdates limits the updates on one message, besides those about its
	// receiver and its target.
	maxUpdates = 6
	// retransmitFactor is the number of messages that carry an update, for each
	// doubling of the number of VMs.
	retransmitFactor = 3
)

// broadcast is a queued update that is piggybacked on messages to any VM.
type broadcast struct {
	// vm is the VM that the update is about.
	vm model.VMID
	// remaining is the number of messages that will still carry the update;
	// above 0.
	remaining int
}

// merge applies an update from another VM. A higher incarnation takes precedence,
// and within one incarnation Suspect takes precedence over Alive. Dead counts as
// Suspect, since a VM declares others dead only after its own probes.
func (nod *Node) merge(now model.Instant, upd Update) {
	if upd.vm == nod.cfg.Self {
		nod.refute(upd)
		return
	}
	pe := nod.find(upd.vm)
	if pe == nil {
		return
	}
	switch upd.state {
	case Alive:
		if upd.incarnation > pe.incarnation || (pe.state == Unknown && upd.incarnation == pe.incarnation) {
			nod.markAlive(pe, upd.incarnation)
		}
	case Suspect, Dead:
		if upd.incarnation > pe.incarnation || (upd.incarnation == pe.incarnation && pe.state < Suspect) {
			nod.markSuspect(now, pe, upd.incarnation)
			nod.queueExtraProbe(pe)
		}
	}
}

// refute raises the incarnation of this VM above that of an update that it is
// suspect or dead.
func (nod *Node) refute(upd Update) {
	if upd.state == Alive || upd.state == Unknown || upd.incarnation < nod.incarnation {
		return
	}
	// Every message carries the new incarnation.
	nod.incarnation = upd.incarnation + 1
}

// markAlive makes pe alive at the given incarnation.
func (nod *Node) markAlive(pe *peer, incarnation uint64) {
	pe.incarnation, pe.probeFailed, pe.confirmed = incarnation, false, false
	nod.setState(pe, Alive)
	nod.queueBroadcast(pe.vm)
}

// markSuspect makes pe a suspect unless it is suspect or dead already at the same
// incarnation.
func (nod *Node) markSuspect(now model.Instant, pe *peer, incarnation uint64) {
	if incarnation == pe.incarnation && pe.state >= Suspect {
		return
	}
	if incarnation > pe.incarnation {
		pe.probeFailed, pe.confirmed = false, false
	}
	pe.incarnation, pe.suspectSince = incarnation, now
	nod.setState(pe, Suspect)
	nod.queueBroadcast(pe.vm)
}

// queueExtraProbe adds pe to the VMs to probe out of order, unless it is queued.
func (nod *Node) queueExtraProbe(pe *peer) {
	if !slices.Contains(nod.extraQueue, pe) {
		nod.extraQueue = append(nod.extraQueue, pe)
	}
}

// declareDead declares each suspect dead whose suspicion has timed out and which
// answered neither this VM nor a helper. If this VM sees no other VM as alive, no
// helper can confirm, and its own probe is enough.
func (nod *Node) declareDead(now model.Instant) {
	for _, pe := range nod.peers {
		if pe.state != Suspect || !pe.probeFailed || now.Sub(pe.suspectSince) < nod.suspicionTimeout() {
			continue
		}
		if pe.confirmed || !slices.ContainsFunc(nod.peers, func(other *peer) bool { return other.state == Alive }) {
			nod.setState(pe, Dead)
		}
	}
}

// suspicionTimeout returns the time that a VM has to refute a suspicion. It grows
// with the number of hops that updates take to reach all VMs.
func (nod *Node) suspicionTimeout() time.Duration {
	return nod.cfg.Period * time.Duration(max(minSuspicionPeriods, bits.Len(uint(len(nod.peers)))))
}

// setState sets the state of pe and emits a Changed if it differs from before.
func (nod *Node) setState(pe *peer, after State) {
	if pe.state == after {
		return
	}
	nod.out = append(nod.out, Changed{vm: pe.vm, before: pe.state, after: after})
	pe.state = after
}

// queueBroadcast piggybacks the state of vm on the next messages, in place of an
// older update about vm.
func (nod *Node) queueBroadcast(vm model.VMID) {
	nod.broadcasts = slices.DeleteFunc(nod.broadcasts, func(bc broadcast) bool { return bc.vm == vm })
	nod.broadcasts = append(nod.broadcasts, broadcast{vm: vm, remaining: retransmitFactor * bits.Len(uint(len(nod.peers)))})
}

// send sends a message with piggybacked updates. If this VM sees the receiver as
// suspect or dead, the message carries that, so that the receiver can refute it.
// A PingRequest and its answers carry the state of the target.
func (nod *Node) send(to model.VMID, kind Kind, seq uint64, target model.VMID) {
	msg := Message{kind: kind, seq: seq, target: target, incarnation: nod.incarnation}
	if pe := nod.find(to); pe != nil && pe.state >= Suspect {
		msg.updates = append(msg.updates, pe.update())
	}
	if pe := nod.find(target); pe != nil && pe.state != Unknown {
		msg.updates = append(msg.updates, pe.update())
	}
	// Updates with the most sends remaining go first.
	slices.SortStableFunc(nod.broadcasts, func(one, two broadcast) int { return two.remaining - one.remaining })
	for idx := range min(maxUpdates, len(nod.broadcasts)) {
		bc := &nod.broadcasts[idx]
		bc.remaining--
		if bc.vm != to && bc.vm != target {
			msg.updates = append(msg.updates, nod.find(bc.vm).update())
		}
	}
	nod.broadcasts = slices.DeleteFunc(nod.broadcasts, func(bc broadcast) bool { return bc.remaining <= 0 })
	nod.out = append(nod.out, Send{to: to, msg: msg})
}
