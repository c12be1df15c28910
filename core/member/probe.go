package member

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// probe is a probe that has not ended.
type probe struct {
	target    *peer
	seq       uint64
	startedAt model.Instant
	// helpersAsked is true once helpers were asked to probe the target.
	helpersAsked bool
	// answered is true once the target answered, directly or to a helper. Other
	// messages of the target do not count, as it may be able to send but not to
	// receive.
	answered bool
	// confirmed is true once a helper reported that it got no answer either.
	confirmed bool
}

// relay is a probe on behalf of another VM.
type relay struct {
	// origin is the VM that asked for the probe, and originSeq the sequence
	// number of its own probe.
	origin    model.VMID
	originSeq uint64
	target    model.VMID
	// seq is the sequence number of the Ping to the target.
	seq      uint64
	deadline model.Instant
}

// directTimeout returns how long a probe waits before it asks helpers. Like
// relayTimeout it ends at the next tick, up to a fifth of a period late. With the
// ticks of two VMs, the answer of a helper arrives up to 0.75 periods after the
// start of the probe.
func (nod *Node) directTimeout() time.Duration { return nod.cfg.Period / 5 }

// relayTimeout returns how long a helper waits for the answer of the target.
func (nod *Node) relayTimeout() time.Duration { return nod.cfg.Period * 3 / 10 }

// handleTick advances the current probes, expires relays and suspicions, and
// starts new probes once a period.
func (nod *Node) handleTick(now model.Instant) {
	if !nod.started {
		nod.started, nod.lastTick, nod.nextProbe = true, now, now
	}
	if gap := now.Sub(nod.lastTick); gap > nod.cfg.Period {
		nod.resumeAfterPause(gap)
	}
	nod.lastTick = now
	nod.expireRelays(now)
	nod.regular = nod.advanceProbe(now, nod.regular)
	nod.extra = nod.advanceProbe(now, nod.extra)
	nod.declareDead(now)
	if now.Before(nod.nextProbe) || len(nod.probeOrder) == 0 {
		return
	}
	nod.nextProbe = now.Add(nod.cfg.Period)
	if nod.regular == nil {
		nod.nextIndex %= len(nod.probeOrder)
		nod.regular = nod.startProbe(now, nod.probeOrder[nod.nextIndex])
		nod.nextIndex++
	}
	if nod.extra == nil && len(nod.extraQueue) > 0 {
		nod.extra = nod.startProbe(now, nod.extraQueue[0])
		nod.extraQueue = nod.extraQueue[1:]
	}
}

// resumeAfterPause handles a gap between ticks, during which this VM was not
// running. It drops the current probes and relays, whose answers may have arrived
// but were not read, and extends the suspicions by the gap, during which no
// refutation could be received.
func (nod *Node) resumeAfterPause(gap time.Duration) {
	nod.regular, nod.extra, nod.relays = nil, nil, nil
	for _, pe := range nod.peers {
		pe.suspectSince = pe.suspectSince.Add(gap)
	}
}

// startProbe starts a probe of target by sending it a Ping.
func (nod *Node) startProbe(now model.Instant, target *peer) *probe {
	nod.seq++
	nod.send(target.vm, Ping, nod.seq, "")
	return &probe{target: target, seq: nod.seq, startedAt: now}
}

// advanceProbe asks helpers when the direct probe has timed out, and ends the
// probe when it was answered or its period is over. It returns pro, or nil once
// the probe has ended or its target is no longer a peer.
func (nod *Node) advanceProbe(now model.Instant, pro *probe) *probe {
	if pro == nil || nod.find(pro.target.vm) != pro.target {
		return nil
	}
	if pro.answered {
		pro.target.probeFailed, pro.target.confirmed = false, false
		if pro.target.state >= Suspect {
			// The target has not refuted the suspicion. The Ping of the extra
			// probe carries it once more.
			nod.queueExtraProbe(pro.target)
		}
		return nil
	}
	if !pro.helpersAsked && now.Sub(pro.startedAt) >= nod.directTimeout() {
		pro.helpersAsked = true
		for _, pe := range nod.pickHelpers(pro.target) {
			nod.send(pe.vm, PingRequest, pro.seq, pro.target.vm)
		}
	}
	if now.Sub(pro.startedAt) < nod.cfg.Period {
		return pro
	}
	pro.target.probeFailed, pro.target.confirmed = true, pro.confirmed
	nod.markSuspect(now, pro.target, pro.target.incarnation)
	if !pro.confirmed && pro.target.state == Suspect {
		nod.queueExtraProbe(pro.target)
	}
	return nil
}

// pickHelpers returns up to maxHelpers random VMs that are alive and not target.
func (nod *Node) pickHelpers(target *peer) []*peer {
	var pes []*peer
	for _, pe := range nod.peers {
		if pe != target && pe.state == Alive {
			pes = append(pes, pe)
		}
	}
	for idx := range min(maxHelpers, len(pes)) {
		other := idx + nod.rng.intN(len(pes)-idx)
		pes[idx], pes[other] = pes[other], pes[idx]
	}
	return pes[:min(maxHelpers, len(pes))]
}

// handleMessage handles a message from another VM. A message from a VM that is not
// a peer is ignored.
func (nod *Node) handleMessage(now model.Instant, from model.VMID, msg Message) {
	pe := nod.find(from)
	if pe == nil {
		return
	}
	nod.merge(now, Update{vm: from, state: Alive, incarnation: msg.incarnation})
	for _, upd := range msg.updates {
		nod.merge(now, upd)
	}
	switch msg.kind {
	case Ping:
		nod.send(from, Ack, msg.seq, "")
	case PingRequest:
		nod.startRelay(now, from, msg)
	case Ack, Nack:
		nod.handleAnswer(from, msg)
	}
}

// startRelay probes the target of a PingRequest. It ignores the request if the
// target is not a peer or is the sender, or if there are too many relays.
func (nod *Node) startRelay(now model.Instant, from model.VMID, msg Message) {
	if nod.find(msg.target) == nil || msg.target == from || len(nod.relays) >= 4*len(nod.peers) {
		return
	}
	nod.seq++
	nod.relays = append(nod.relays, relay{
		origin: from, originSeq: msg.seq, target: msg.target,
		seq: nod.seq, deadline: now.Add(nod.relayTimeout()),
	})
	nod.send(msg.target, Ping, nod.seq, "")
}

// handleAnswer matches an Ack or Nack with the current probes, and passes an Ack
// to a relay on to the VM that asked for it.
func (nod *Node) handleAnswer(from model.VMID, msg Message) {
	for _, pro := range []*probe{nod.regular, nod.extra} {
		if pro == nil || pro.seq != msg.seq || (msg.target != pro.target.vm && from != pro.target.vm) {
			continue
		}
		if msg.kind == Ack {
			pro.answered = true
		} else {
			pro.confirmed = true
		}
	}
	nod.relays = slices.DeleteFunc(nod.relays, func(re relay) bool {
		if msg.kind != Ack || re.seq != msg.seq || re.target != from {
			return false
		}
		nod.send(re.origin, Ack, re.originSeq, re.target)
		return true
	})
}

// expireRelays sends a Nack for each relay whose target did not answer in time.
func (nod *Node) expireRelays(now model.Instant) {
	nod.relays = slices.DeleteFunc(nod.relays, func(re relay) bool {
		if now.Before(re.deadline) {
			return false
		}
		nod.send(re.origin, Nack, re.originSeq, re.target)
		return true
	})
}
