package member

import (
	"math/bits"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// maxUpdates limits the broadcasts on one message. The updates about its receiver
	// and its target come on top.
	maxUpdates = 6
	// retransmitFactor determines how many messages carry an update: this number
	// for each doubling of the number of VMs.
	retransmitFactor = 3
)

// broadcast is a queued update that is piggybacked on the messages to all VMs.
type broadcast struct {
	// vm is the VM that the update is about.
	vm model.VMID
	// remaining is the number of messages that will still carry the update;
	// above 0.
	remaining int
}

// merge applies an update from another VM. A higher incarnation takes precedence,
// and within one incarnation Suspect takes precedence over Alive. Dead is handled as
// Suspect, since a VM declares others dead only after its own probes failed.
func (det *Detector) merge(now model.Instant, upd Update) {
	if upd.vm == det.cfg.Self {
		det.refute(upd)
		return
	}
	pe := det.find(upd.vm)
	if pe == nil {
		return
	}
	switch upd.state {
	case Alive:
		if upd.incarnation > pe.incarnation || (pe.state == Unknown && upd.incarnation == pe.incarnation) {
			det.markAlive(pe, upd.incarnation)
		}
	case Suspect, Dead:
		if upd.incarnation > pe.incarnation || (upd.incarnation == pe.incarnation && pe.state < Suspect) {
			det.markSuspect(now, pe, upd.incarnation)
			det.queueExtraProbe(pe)
		}
	}
}

// refute raises the incarnation of this VM above that of upd if upd reports this VM
// as suspect or dead at its current or a higher incarnation.
func (det *Detector) refute(upd Update) {
	if upd.state == Alive || upd.state == Unknown || upd.incarnation < det.incarnation {
		return
	}
	// No broadcast is needed, since every message carries the new incarnation.
	det.incarnation = upd.incarnation + 1
}

// markAlive makes pe alive at the given incarnation.
func (det *Detector) markAlive(pe *peer, incarnation uint64) {
	pe.incarnation, pe.probeFailed, pe.confirmed = incarnation, false, false
	det.setState(pe, Alive)
	det.queueBroadcast(pe.vm)
}

// markSuspect makes pe a suspect at the given incarnation, unless it is suspect or dead
// at that incarnation already.
func (det *Detector) markSuspect(now model.Instant, pe *peer, incarnation uint64) {
	if incarnation == pe.incarnation && pe.state >= Suspect {
		return
	}
	if incarnation > pe.incarnation {
		pe.probeFailed, pe.confirmed = false, false
	}
	pe.incarnation, pe.suspectSince = incarnation, now
	det.setState(pe, Suspect)
	det.queueBroadcast(pe.vm)
}

// queueExtraProbe queues an additional probe of pe, unless one is queued already.
func (det *Detector) queueExtraProbe(pe *peer) {
	if !slices.Contains(det.extraQueue, pe) {
		det.extraQueue = append(det.extraQueue, pe)
	}
}

// declareDead declares each suspect dead whose suspicion has timed out and which
// answered neither this VM nor a helper, which has confirmed that with a Nack. If this
// VM sees no other VM as alive, there is no helper, and the failure of its own probe is
// enough.
func (det *Detector) declareDead(now model.Instant) {
	for _, pe := range det.peers {
		if pe.state != Suspect || !pe.probeFailed || now.Sub(pe.suspectSince) < det.suspicionTimeout() {
			continue
		}
		if pe.confirmed || !slices.ContainsFunc(det.peers, func(other *peer) bool { return other.state == Alive }) {
			det.setState(pe, Dead)
		}
	}
}

// suspicionTimeout returns the time that a VM has to refute a suspicion. It grows
// with the logarithm of the number of VMs, as does the number of hops that updates
// take to reach all of them.
func (det *Detector) suspicionTimeout() time.Duration {
	return det.cfg.Period * time.Duration(max(minSuspicionPeriods, bits.Len(uint(len(det.peers)))))
}

// setState sets the state of pe and emits a Changed if that is a new state.
func (det *Detector) setState(pe *peer, after State) {
	if pe.state == after {
		return
	}
	det.out = append(det.out, Changed{vm: pe.vm, before: pe.state, after: after})
	pe.state = after
}

// queueBroadcast piggybacks the state of vm on the next messages, in place of an
// older update about vm.
func (det *Detector) queueBroadcast(vm model.VMID) {
	det.broadcasts = slices.DeleteFunc(det.broadcasts, func(bc broadcast) bool { return bc.vm == vm })
	det.broadcasts = append(det.broadcasts, broadcast{vm: vm, remaining: retransmitFactor * bits.Len(uint(len(det.peers)))})
}

// send sends a message with piggybacked updates. If this VM sees the receiver as
// suspect or dead, the message carries that, so that the receiver can refute it.
// A PingRequest and its answers also carry the state of target, which is empty for all
// other messages.
func (det *Detector) send(to model.VMID, kind Kind, seq uint64, target model.VMID) {
	msg := Message{kind: kind, seq: seq, target: target, incarnation: det.incarnation}
	if pe := det.find(to); pe != nil && pe.state >= Suspect {
		msg.updates = append(msg.updates, pe.update())
	}
	if pe := det.find(target); pe != nil && pe.state != Unknown {
		msg.updates = append(msg.updates, pe.update())
	}
	// Updates with the most sends remaining go first.
	slices.SortStableFunc(det.broadcasts, func(one, two broadcast) int { return two.remaining - one.remaining })
	for idx := range min(maxUpdates, len(det.broadcasts)) {
		bc := &det.broadcasts[idx]
		bc.remaining--
		if bc.vm != to && bc.vm != target {
			msg.updates = append(msg.updates, det.find(bc.vm).update())
		}
	}
	det.broadcasts = slices.DeleteFunc(det.broadcasts, func(bc broadcast) bool { return bc.remaining <= 0 })
	det.out = append(det.out, Send{to: to, msg: msg})
}
