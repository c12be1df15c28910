package quorum

import "guavarail/core/model"

// handover is a transfer of leadership. The zero value is none.
type handover struct {
	id     uint64
	target model.VMID
	start  model.Instant
	// asked is when the target was last told to start an election.
	asked model.Instant
}

// onAlter starts a membership change. Only one may be under way.
func (n *Node) onAlter(in Alter) {
	if n.standing != leader || n.lead.handover.target != "" {
		n.emit(Refused{id: in.id, err: n.notLeader()})
		return
	}
	if reason := n.refuseChange(in.change); reason != "" {
		n.emit(Refused{id: in.id, err: &ChangeError{vm: in.change.vm, reason: reason}})
		return
	}
	n.lead.pending, n.lead.asked = &in, n.now
	for _, mem := range n.members().list {
		if pr := n.lead.peers[mem.vm]; pr != nil {
			n.appendTo(pr, true)
		}
	}
	n.tryChange()
}

func (n *Node) refuseChange(chg Change) string {
	mem, ok := n.members().Find(chg.vm)
	switch {
	case n.members().founding || n.commit < n.lead.first || n.configs[len(n.configs)-1].index > n.commit:
		return "the last change is not committed yet, retry later"
	case n.lead.pending != nil:
		return "another change is under way, retry later"
	case chg.kind == AddLearner && ok:
		return "it is a member already, remove it first"
	case chg.kind != AddLearner && !ok:
		return "it is not a member"
	case chg.kind == Promote && mem.voter:
		return "it is a voter already"
	case chg.kind == Remove && n.members().only(chg.vm):
		return "it is the only voter"
	case chg.kind == Remove && mem.voter && !n.quorumWithout(chg.vm, n.now.Add(-ElectionShortest)):
		return "the remaining voters have no quorum, replace the lost voter first"
	}
	return ""
}

// answered reports whether a voter or learner has answered a round that was
// sent at or after the given time.
func (n *Node) answered(vm model.VMID, since model.Instant) bool {
	pr := n.lead.peers[vm]
	return vm == n.cfg.Self || pr != nil && pr.replied && !pr.acked.Before(since)
}

// quorumWithout reports whether the voters that answered since then are a
// quorum once vm is removed.
func (n *Node) quorumWithout(vm model.VMID, since model.Instant) bool {
	vots := n.members().without(vm).voters()
	up := 0
	for _, mem := range vots {
		if n.answered(mem.vm, since) {
			up++
		}
	}
	return up >= majority(len(vots))
}

// tryChange writes the pending change once the members that it depends on have
// answered a round that was sent after the request. An older answer may come
// from a disk that was lost meanwhile. A promotion also waits until the learner
// has every accepted command on disk.
func (n *Node) tryChange() {
	alt := n.lead.pending
	if alt == nil || n.standing != leader {
		return
	}
	ready := true
	switch vm := alt.change.vm; alt.change.kind {
	case Promote:
		pr := n.lead.peers[vm]
		ready = pr != nil && pr.disk != "" && pr.match >= n.commit && n.answered(vm, n.lead.asked)
	case Remove:
		mem, _ := n.members().Find(vm)
		ready = !mem.voter || n.quorumWithout(vm, n.lead.asked)
	}
	if ready {
		n.commitChange()
	}
}

// tickChange gives up a change whose members do not answer.
func (n *Node) tickChange() {
	alt := n.lead.pending
	if alt == nil || n.since(n.lead.asked) < changeTimeout {
		return
	}
	n.lead.pending = nil
	n.emit(Refused{id: alt.id, err: &ChangeError{vm: alt.change.vm, reason: "members did not answer or catch up, check that they run"}})
}

// commitChange writes the configuration with the pending change.
func (n *Node) commitChange() {
	alt := n.lead.pending
	n.lead.pending = nil
	mems := n.members()
	switch vm := alt.change.vm; alt.change.kind {
	case AddLearner:
		mems = mems.with(NewMember(vm, "", false))
	case Promote:
		mems = mems.with(NewMember(vm, n.lead.peers[vm].disk, true))
	case Remove:
		mems = mems.without(vm)
	}
	ent := NewMembersEntry(n.log.last()+1, n.term, mems)
	n.write(ent)
	n.emit(Accepted{id: alt.id, index: ent.index, term: ent.term})
	n.followMembers()
	n.replicate()
}

// refuseWaiting answers a change that was not written yet.
func (n *Node) refuseWaiting() {
	if alt := n.lead.pending; alt != nil {
		n.lead.pending = nil
		n.emit(Refused{id: alt.id, err: &ChangeError{vm: alt.change.vm, reason: "leadership was lost, retry at the leader"}})
	}
}

// onTransfer picks the most advanced voter and stops taking commands.
func (n *Node) onTransfer(in Transfer) {
	if n.standing != leader {
		n.emit(Refused{id: in.id, err: n.notLeader()})
		return
	}
	var best *progress
	for _, mem := range n.members().voters() {
		pr := n.lead.peers[mem.vm]
		if pr == nil || !pr.replied || n.since(pr.acked) > ElectionShortest {
			continue
		}
		if best == nil || pr.match > best.match {
			best = pr
		}
	}
	if best == nil {
		n.emit(Refused{id: in.id, err: &TransferError{reason: "no other voter is reachable"}})
		return
	}
	if n.lead.handover.target == "" {
		n.lead.handover = handover{id: in.id, target: best.vm, start: n.now}
	}
	n.tickTransfer()
}

// tickTransfer asks the target to start its election once it has the whole
// log. A leader that has asked steps down at the latest after ElectionShortest.
func (n *Node) tickTransfer() {
	han := &n.lead.handover
	if n.standing != leader || han.target == "" {
		return
	}
	pr := n.lead.peers[han.target]
	late := n.since(han.start) >= ElectionShortest
	switch {
	case n.lead.yielded && (late || pr == nil):
		// The lease of this term is given up for good, also when the target was
		// removed from the group meanwhile.
		n.stepDown()
	case late || pr == nil:
		n.emit(Refused{id: han.id, err: &TransferError{reason: string(han.target) + " has not caught up"}})
		n.lead.handover = handover{}
	case pr.match < n.log.last():
	case !n.lead.yielded || n.since(han.asked) >= Heartbeat:
		n.lead.yielded = true
		han.asked = n.now
		n.send(MessageSpec{Kind: TimeoutNow, To: pr.vm, Term: n.term})
	}
}
