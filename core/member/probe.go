package member

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// probe is a probe in progress.
type probe struct {
	target    *peer
	seq       uint64
	startedAt model.Instant
	// helpersAsked is true once the direct probe timed out and PingRequests were sent.
	helpersAsked bool
	// answered is true once the target answered, directly or to a helper. Other
	// messages of the target do not count, as it may be able to send but not to
	// receive.
	answered bool
	// confirmed is true once a helper sent a Nack: it got no answer either.
	confirmed bool
}

// relay is a probe on behalf of another VM.
type relay struct {
	// origin is the VM that sent the PingRequest, and originSeq the sequence number
	// of that message.
	origin    model.VMID
	originSeq uint64
	target    model.VMID
	// seq is the sequence number of the Ping to the target.
	seq      uint64
	deadline model.Instant
}

// directTimeout returns how long a probe waits for the target before it asks helpers.
// This timeout and relayTimeout are checked at ticks, up to a fifth of a period late.
// With the ticks of both VMs, the answer of a helper arrives up to 0.75 periods after
// the start of the probe, before the probe ends.
func (det *Detector) directTimeout() time.Duration { return det.cfg.Period / 5 }

// relayTimeout returns how long a helper waits for the answer of the target.
func (det *Detector) relayTimeout() time.Duration { return det.cfg.Period * 3 / 10 }

// handleTick advances the current probes, expires relays, declares suspects dead
// whose suspicion has timed out, and starts new probes once a period.
func (det *Detector) handleTick(now model.Instant) {
	if !det.started {
		det.started, det.lastTick, det.nextProbe = true, now, now
	}
	if gap := now.Sub(det.lastTick); gap > det.cfg.Period {
		det.resumeAfterPause(gap)
	}
	det.lastTick = now
	det.expireRelays(now)
	det.regular = det.advanceProbe(now, det.regular)
	det.extra = det.advanceProbe(now, det.extra)
	det.declareDead(now)
	if now.Before(det.nextProbe) || len(det.probeOrder) == 0 {
		return
	}
	det.nextProbe = now.Add(det.cfg.Period)
	if det.regular == nil {
		det.nextIndex %= len(det.probeOrder)
		det.regular = det.startProbe(now, det.probeOrder[det.nextIndex])
		det.nextIndex++
	}
	if det.extra == nil && len(det.extraQueue) > 0 {
		det.extra = det.startProbe(now, det.extraQueue[0])
		det.extraQueue = det.extraQueue[1:]
	}
}

// resumeAfterPause handles a gap between ticks, during which this VM was not
// running. It drops the current probes and relays, whose answers may have arrived
// without being handled, and extends the suspicions by the gap, during which this VM
// could receive no refutation.
func (det *Detector) resumeAfterPause(gap time.Duration) {
	det.regular, det.extra, det.relays = nil, nil, nil
	for _, pe := range det.peers {
		pe.suspectSince = pe.suspectSince.Add(gap)
	}
}

// startProbe starts a probe of target by sending it a Ping.
func (det *Detector) startProbe(now model.Instant, target *peer) *probe {
	det.seq++
	det.send(target.vm, Ping, det.seq, "")
	return &probe{target: target, seq: det.seq, startedAt: now}
}

// advanceProbe asks helpers when the direct probe has timed out, and ends the
// probe when it was answered or a period after its start. It returns pro, or nil once
// the probe has ended or its target is no longer a peer.
func (det *Detector) advanceProbe(now model.Instant, pro *probe) *probe {
	if pro == nil || det.find(pro.target.vm) != pro.target {
		return nil
	}
	if pro.answered {
		pro.target.probeFailed, pro.target.confirmed = false, false
		if pro.target.state >= Suspect {
			// The target has not refuted the suspicion. The Ping of the extra
			// probe carries it once more.
			det.queueExtraProbe(pro.target)
		}
		return nil
	}
	if !pro.helpersAsked && now.Sub(pro.startedAt) >= det.directTimeout() {
		pro.helpersAsked = true
		for _, pe := range det.pickHelpers(pro.target) {
			det.send(pe.vm, PingRequest, pro.seq, pro.target.vm)
		}
	}
	if now.Sub(pro.startedAt) < det.cfg.Period {
		return pro
	}
	pro.target.probeFailed, pro.target.confirmed = true, pro.confirmed
	det.markSuspect(now, pro.target, pro.target.incarnation)
	if !pro.confirmed && pro.target.state == Suspect {
		det.queueExtraProbe(pro.target)
	}
	return nil
}

// pickHelpers returns up to maxHelpers random VMs that are alive and not target.
func (det *Detector) pickHelpers(target *peer) []*peer {
	var pes []*peer
	for _, pe := range det.peers {
		if pe != target && pe.state == Alive {
			pes = append(pes, pe)
		}
	}
	for idx := range min(maxHelpers, len(pes)) {
		other := idx + det.rng.intN(len(pes)-idx)
		pes[idx], pes[other] = pes[other], pes[idx]
	}
	return pes[:min(maxHelpers, len(pes))]
}

// handleMessage handles a message from another VM. A message from a VM that is not
// a peer is ignored.
func (det *Detector) handleMessage(now model.Instant, from model.VMID, msg Message) {
	pe := det.find(from)
	if pe == nil {
		return
	}
	det.merge(now, Update{vm: from, state: Alive, incarnation: msg.incarnation})
	for _, upd := range msg.updates {
		det.merge(now, upd)
	}
	switch msg.kind {
	case Ping:
		det.send(from, Ack, msg.seq, "")
	case PingRequest:
		det.startRelay(now, from, msg)
	case Ack, Nack:
		det.handleAnswer(from, msg)
	}
}

// startRelay probes the target of a PingRequest. It ignores the request if the
// target is not a peer or is the sender, or if there are four relays per peer already.
func (det *Detector) startRelay(now model.Instant, from model.VMID, msg Message) {
	if det.find(msg.target) == nil || msg.target == from || len(det.relays) >= 4*len(det.peers) {
		return
	}
	det.seq++
	det.relays = append(det.relays, relay{
		origin: from, originSeq: msg.seq, target: msg.target,
		seq: det.seq, deadline: now.Add(det.relayTimeout()),
	})
	det.send(msg.target, Ping, det.seq, "")
}

// handleAnswer matches an Ack or Nack with the current probes. If it is the Ack of the
// target of a relay, it ends the relay and sends an Ack to the origin.
func (det *Detector) handleAnswer(from model.VMID, msg Message) {
	for _, pro := range []*probe{det.regular, det.extra} {
		if pro == nil || pro.seq != msg.seq || (msg.target != pro.target.vm && from != pro.target.vm) {
			continue
		}
		if msg.kind == Ack {
			pro.answered = true
		} else {
			pro.confirmed = true
		}
	}
	det.relays = slices.DeleteFunc(det.relays, func(re relay) bool {
		if msg.kind != Ack || re.seq != msg.seq || re.target != from {
			return false
		}
		det.send(re.origin, Ack, re.originSeq, re.target)
		return true
	})
}

// expireRelays sends a Nack for each relay whose target did not answer in time.
func (det *Detector) expireRelays(now model.Instant) {
	det.relays = slices.DeleteFunc(det.relays, func(re relay) bool {
		if now.Before(re.deadline) {
			return false
		}
		det.send(re.origin, Nack, re.originSeq, re.target)
		return true
	})
}
