package member

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// probe is one probe under way.
type probe struct {
	pe    *peer
	seq   uint64
	began model.Instant
	// asked is true once helpers were asked.
	asked bool
	// answered is true once the VM answered, directly or to a helper. Other
	// messages of the VM do not count, as it may send and not receive.
	answered bool
	// witnessed is true once a helper reported no answer.
	witnessed bool
}

// relay is a probe on behalf of another VM.
type relay struct {
	origin    model.VMID
	originSeq uint64
	target    model.VMID
	seq       uint64
	until     model.Instant
}

// directTime is how long a probe waits before helpers are asked, and relayTime
// how long a helper waits. Both end at a tick, up to a fifth of a period late,
// so with the ticks of two VMs the answer of a helper takes up to 0.75 periods.
func (nod *Node) directTime() time.Duration { return nod.cfg.Period / 5 }

func (nod *Node) relayTime() time.Duration { return nod.cfg.Period * 3 / 10 }

// tick starts, continues and ends probes and suspicions.
func (nod *Node) tick(now model.Instant) {
	if !nod.started {
		nod.started, nod.lastTick, nod.nextProbe = true, now, now
	}
	if gap := now.Sub(nod.lastTick); gap > nod.cfg.Period {
		nod.resume(gap)
	}
	nod.lastTick = now
	nod.endRelays(now)
	nod.regular = nod.advance(now, nod.regular)
	nod.extra = nod.advance(now, nod.extra)
	nod.condemn(now)
	if now.Before(nod.nextProbe) || len(nod.order) == 0 {
		return
	}
	nod.nextProbe = now.Add(nod.cfg.Period)
	if nod.regular == nil {
		nod.next %= len(nod.order)
		nod.regular = nod.begin(now, nod.order[nod.next])
		nod.next++
	}
	if nod.extra == nil && len(nod.urgent) > 0 {
		nod.extra = nod.begin(now, nod.urgent[0])
		nod.urgent = nod.urgent[1:]
	}
}

// resume forgets what ran out while the VM itself stood still: others may have
// answered meanwhile, and their time to contradict did not pass here.
func (nod *Node) resume(gap time.Duration) {
	nod.regular, nod.extra, nod.relays = nil, nil, nil
	for _, pe := range nod.peers {
		pe.since = pe.since.Add(gap)
	}
}

// begin sends the Ping of a new probe.
func (nod *Node) begin(now model.Instant, pe *peer) *probe {
	nod.seq++
	nod.send(pe.vm, Ping, nod.seq, "")
	return &probe{pe: pe, seq: nod.seq, began: now}
}

// advance returns pro, or nil when it has ended.
func (nod *Node) advance(now model.Instant, pro *probe) *probe {
	if pro == nil || nod.find(pro.pe.vm) != pro.pe {
		return nil
	}
	if pro.answered {
		pro.pe.silent, pro.pe.witnessed = false, false
		if pro.pe.state >= Suspect {
			// It was not told of the suspicion yet.
			nod.hurry(pro.pe)
		}
		return nil
	}
	if !pro.asked && now.Sub(pro.began) >= nod.directTime() {
		pro.asked = true
		for _, pe := range nod.pickHelpers(pro.pe) {
			nod.send(pe.vm, Ask, pro.seq, pro.pe.vm)
		}
	}
	if now.Sub(pro.began) < nod.cfg.Period {
		return pro
	}
	pro.pe.silent, pro.pe.witnessed = true, pro.witnessed
	nod.suspect(now, pro.pe, pro.pe.incarnation)
	if !pro.witnessed && pro.pe.state == Suspect {
		nod.hurry(pro.pe)
	}
	return nil
}

// pickHelpers returns some VMs that are alive and not target.
func (nod *Node) pickHelpers(target *peer) []*peer {
	var pes []*peer
	for _, pe := range nod.peers {
		if pe != target && pe.state == Alive {
			pes = append(pes, pe)
		}
	}
	for at := range min(helpers, len(pes)) {
		other := at + nod.rng.below(len(pes)-at)
		pes[at], pes[other] = pes[other], pes[at]
	}
	return pes[:min(helpers, len(pes))]
}

// receive handles one message.
func (nod *Node) receive(now model.Instant, from model.VMID, msg Message) {
	pe := nod.find(from)
	if pe == nil {
		return
	}
	nod.believe(now, News{vm: from, state: Alive, incarnation: msg.incarnation})
	for _, ne := range msg.news {
		nod.believe(now, ne)
	}
	switch msg.kind {
	case Ping:
		nod.send(from, Ack, msg.seq, "")
	case Ask:
		nod.relay(now, from, msg)
	case Ack, Nack:
		nod.settle(from, msg)
	}
}

// relay probes the target of an Ask.
func (nod *Node) relay(now model.Instant, from model.VMID, msg Message) {
	if nod.find(msg.target) == nil || msg.target == from || len(nod.relays) >= 4*len(nod.peers) {
		return
	}
	nod.seq++
	nod.relays = append(nod.relays, relay{
		origin: from, originSeq: msg.seq, target: msg.target,
		seq: nod.seq, until: now.Add(nod.relayTime()),
	})
	nod.send(msg.target, Ping, nod.seq, "")
}

// settle matches an answer with the probe that it belongs to.
func (nod *Node) settle(from model.VMID, msg Message) {
	for _, pro := range []*probe{nod.regular, nod.extra} {
		if pro == nil || pro.seq != msg.seq || (msg.target != pro.pe.vm && from != pro.pe.vm) {
			continue
		}
		if msg.kind == Ack {
			pro.answered = true
		} else {
			pro.witnessed = true
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

// endRelays reports targets that did not answer in time.
func (nod *Node) endRelays(now model.Instant) {
	nod.relays = slices.DeleteFunc(nod.relays, func(re relay) bool {
		if now.Before(re.until) {
			return false
		}
		nod.send(re.origin, Nack, re.originSeq, re.target)
		return true
	})
}
