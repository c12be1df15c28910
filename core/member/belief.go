package member

import (
	"math/bits"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// maxNews bounds the news on one message besides that about its receiver
	// and its target.
	maxNews = 6
	// spread is how often news is sent, for each doubling of the number of VMs.
	spread = 3
)

// rumor is news that is still sent on other messages.
type rumor struct {
	vm model.VMID
	// left is the number of messages that will still carry it, above 0.
	left int
}

// believe merges news: a higher incarnation wins, and within one incarnation
// suspicion wins over life. News that a VM is dead counts as suspicion, as this
// VM declares others dead only by its own probes.
func (nod *Node) believe(now model.Instant, ne News) {
	if ne.vm == nod.cfg.Self {
		nod.contradict(ne)
		return
	}
	pe := nod.find(ne.vm)
	if pe == nil {
		return
	}
	switch ne.state {
	case Alive:
		if ne.incarnation > pe.incarnation || (pe.state == Unknown && ne.incarnation == pe.incarnation) {
			nod.revive(pe, ne.incarnation)
		}
	case Suspect, Dead:
		if ne.incarnation > pe.incarnation || (ne.incarnation == pe.incarnation && pe.state < Suspect) {
			nod.suspect(now, pe, ne.incarnation)
			nod.hurry(pe)
		}
	}
}

// contradict answers news that this VM is not alive with a higher incarnation.
func (nod *Node) contradict(ne News) {
	if ne.state == Alive || ne.state == Unknown || ne.incarnation < nod.incarnation {
		return
	}
	// Every message carries the new incarnation.
	nod.incarnation = ne.incarnation + 1
}

func (nod *Node) revive(pe *peer, incarnation uint64) {
	pe.incarnation, pe.silent, pe.witnessed = incarnation, false, false
	nod.change(pe, Alive)
	nod.spread(pe.vm)
}

// suspect makes pe suspect unless it is so already at the same incarnation.
func (nod *Node) suspect(now model.Instant, pe *peer, incarnation uint64) {
	if incarnation == pe.incarnation && pe.state >= Suspect {
		return
	}
	if incarnation > pe.incarnation {
		pe.silent, pe.witnessed = false, false
	}
	pe.incarnation, pe.since = incarnation, now
	nod.change(pe, Suspect)
	nod.spread(pe.vm)
}

// hurry lets the next extra probe go to pe.
func (nod *Node) hurry(pe *peer) {
	if !slices.Contains(nod.urgent, pe) {
		nod.urgent = append(nod.urgent, pe)
	}
}

// condemn declares suspects dead that had their time, were silent to this VM
// and to another one. A VM that has no other live VM left has no one to ask and
// decides alone.
func (nod *Node) condemn(now model.Instant) {
	for _, pe := range nod.peers {
		if pe.state != Suspect || !pe.silent || now.Sub(pe.since) < nod.suspicion() {
			continue
		}
		if pe.witnessed || !slices.ContainsFunc(nod.peers, func(other *peer) bool { return other.state == Alive }) {
			nod.change(pe, Dead)
		}
	}
}

// suspicion is the time that a VM has to contradict. It grows with the number
// of hops that news needs.
func (nod *Node) suspicion() time.Duration {
	return nod.cfg.Period * time.Duration(max(minSuspicion, bits.Len(uint(len(nod.peers)))))
}

func (nod *Node) change(pe *peer, now State) {
	if pe.state == now {
		return
	}
	nod.out = append(nod.out, Changed{vm: pe.vm, before: pe.state, now: now})
	pe.state = now
}

// spread puts news about vm on the next messages.
func (nod *Node) spread(vm model.VMID) {
	nod.rumors = slices.DeleteFunc(nod.rumors, func(ru rumor) bool { return ru.vm == vm })
	nod.rumors = append(nod.rumors, rumor{vm: vm, left: spread * bits.Len(uint(len(nod.peers)))})
}

// send sends a message with news. The receiver is told if it is not believed
// to be alive, so that it can contradict, and the state of the target goes with
// an Ask and its answers.
func (nod *Node) send(to model.VMID, kind Kind, seq uint64, target model.VMID) {
	msg := Message{kind: kind, seq: seq, target: target, incarnation: nod.incarnation}
	if pe := nod.find(to); pe != nil && pe.state >= Suspect {
		msg.news = append(msg.news, pe.news())
	}
	if pe := nod.find(target); pe != nil && pe.state != Unknown {
		msg.news = append(msg.news, pe.news())
	}
	// The news that was sent least often goes first.
	slices.SortStableFunc(nod.rumors, func(one, two rumor) int { return two.left - one.left })
	for at := range min(maxNews, len(nod.rumors)) {
		ru := &nod.rumors[at]
		ru.left--
		if ru.vm != to && ru.vm != target {
			msg.news = append(msg.news, nod.find(ru.vm).news())
		}
	}
	nod.rumors = slices.DeleteFunc(nod.rumors, func(ru rumor) bool { return ru.left <= 0 })
	nod.out = append(nod.out, Send{to: to, msg: msg})
}
