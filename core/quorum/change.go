package quorum

import (
	"cmp"

	"guavarail/core/model"
)

// leadershipTransfer is the state of a transfer. In the zero value no transfer
// is in progress.
type leadershipTransfer struct {
	// id is the identifier of the Transfer input.
	id uint64
	// target is the next leader, or "" if no transfer is in progress.
	target    model.VMID
	startedAt model.Instant
	// timeoutNowSentAt is when TimeoutNow was last sent to the target.
	timeoutNowSentAt model.Instant
}

// onProposeChange starts a membership change. Only one may be in progress. The
// change may wait for replies to messages sent after the request, so the leader
// sends a heartbeat to every member at once.
func (n *Node) onProposeChange(in ProposeChange) {
	if n.state != leader || n.leaderState.leadershipTransfer.target != "" {
		n.emit(Rejected{id: in.id, err: n.notLeaderError()})
		return
	}
	if reason := n.rejectionReason(in.change); reason != "" {
		n.emit(Rejected{id: in.id, err: &ChangeError{vm: in.change.vm, reason: reason}})
		return
	}
	n.leaderState.pendingChange, n.leaderState.changeProposedAt = &in, n.now
	for _, mem := range n.members().list {
		if pr := n.leaderState.peers[mem.vm]; pr != nil {
			n.appendTo(pr, true)
		}
	}
	n.tryPendingChange()
}

// rejectionReason returns the reason for rejecting a change, or "".
func (n *Node) rejectionReason(chg Change) string {
	mem, ok := n.members().Find(chg.vm)
	switch {
	case n.members().bootstrap || n.chosenIndex() < n.leaderState.termStart || n.configs[len(n.configs)-1].index > n.chosenIndex():
		return "the last change is not committed yet, retry later"
	case n.leaderState.pendingChange != nil:
		return "another change is under way, retry later"
	case chg.kind == AddLearner && ok:
		return "it is a member already, remove it first"
	case chg.kind != AddLearner && !ok:
		return "it is not a member"
	case chg.kind == Promote && mem.voter:
		return "it is a voter already"
	case chg.kind == Remove && n.members().isSoleVoter(chg.vm):
		return "it is the only voter"
	case chg.kind == Remove && mem.voter && !n.quorumWithout(chg.vm, n.now.Add(-MinElectionTimeout)):
		return "the remaining voters have no quorum, replace the lost voter first"
	}
	return ""
}

// repliedSince reports whether a member has replied to a message that was sent at
// or after the given time.
func (n *Node) repliedSince(vm model.VMID, since model.Instant) bool {
	pr := n.leaderState.peers[vm]
	return vm == n.cfg.Self || pr != nil && pr.replied && !pr.lastAckedSendTime.Before(since)
}

// quorumWithout reports whether a majority of the voters other than vm has replied
// to a message that was sent at or after the given time.
func (n *Node) quorumWithout(vm model.VMID, since model.Instant) bool {
	vots := n.members().without(vm).voters()
	reachable := 0
	for _, mem := range vots {
		if n.repliedSince(mem.vm, since) {
			reachable++
		}
	}
	return reachable >= majority(len(vots))
}

// copiedWithout reports whether as many voters other than vm as a commit needs
// under the configuration without vm have every chosen entry on disk and have
// replied to a message that was sent at or after the given time. The commit index
// would not do: a new leader does not know yet what earlier ones committed.
func (n *Node) copiedWithout(vm model.VMID, since model.Instant) bool {
	mems := n.members().without(vm)
	copies := 0
	for _, mem := range mems.voters() {
		if n.repliedSince(mem.vm, since) && n.matchOf(mem) >= n.chosenIndex() {
			copies++
		}
	}
	return copies >= n.commitCopies(mems)
}

// tryPendingChange appends the pending change once the members that it depends
// on have replied to a message sent after the request; an earlier reply may
// come from a disk that has been lost since. A promotion depends on the learner,
// which must also have every chosen entry on disk, and the removal of a voter on
// enough of the other voters for a commit without it.
func (n *Node) tryPendingChange() {
	pc := n.leaderState.pendingChange
	if pc == nil || n.state != leader {
		return
	}
	ready := true
	switch vm := pc.change.vm; pc.change.kind {
	case Promote:
		pr := n.leaderState.peers[vm]
		ready = pr != nil && pr.disk != "" && pr.match >= n.chosenIndex() && n.repliedSince(vm, n.leaderState.changeProposedAt)
	case Remove:
		mem, _ := n.members().Find(vm)
		ready = !mem.voter || n.copiedWithout(vm, n.leaderState.changeProposedAt)
	}
	if ready {
		n.appendChange()
	}
}

// expirePendingChange rejects the pending change after its timeout.
func (n *Node) expirePendingChange() {
	pc := n.leaderState.pendingChange
	if pc == nil || n.since(n.leaderState.changeProposedAt) < cmp.Or(pc.timeout, changeTimeout) {
		return
	}
	n.leaderState.pendingChange = nil
	n.emit(Rejected{id: pc.id, err: &ChangeError{vm: pc.change.vm, reason: "members did not answer or catch up, check that they run"}})
}

// appendChange appends the configuration that results from the pending change.
func (n *Node) appendChange() {
	pc := n.leaderState.pendingChange
	n.leaderState.pendingChange = nil
	mems := n.members()
	switch vm := pc.change.vm; pc.change.kind {
	case AddLearner:
		mems = mems.with(NewMember(vm, "", false))
	case Promote:
		mems = mems.with(NewMember(vm, n.leaderState.peers[vm].disk, true))
	case Remove:
		mems = mems.without(vm)
	}
	ent := NewMembersEntry(n.log.last()+1, n.term, mems)
	n.appendEntry(ent)
	n.emit(Accepted{id: pc.id, index: ent.index, term: ent.term})
	n.updatePeers()
	n.replicate()
}

// rejectPendingChange rejects the pending change, if any, because this replica is no
// longer the leader.
func (n *Node) rejectPendingChange() {
	if pc := n.leaderState.pendingChange; pc != nil {
		n.leaderState.pendingChange = nil
		n.emit(Rejected{id: pc.id, err: &ChangeError{vm: pc.change.vm, reason: "leadership was lost, retry at the leader"}})
	}
}

// onTransfer starts a transfer to the voter with the highest match index among
// those that have replied to a message of the last MinElectionTimeout. Until the
// transfer ends, the leader rejects commands and membership changes. A request
// during a transfer starts no other one, and is neither accepted nor rejected.
func (n *Node) onTransfer(in Transfer) {
	if n.state != leader {
		n.emit(Rejected{id: in.id, err: n.notLeaderError()})
		return
	}
	var best *progress
	for _, mem := range n.members().voters() {
		pr := n.leaderState.peers[mem.vm]
		if pr == nil || !pr.replied || n.since(pr.lastAckedSendTime) > MinElectionTimeout {
			continue
		}
		if best == nil || pr.match > best.match {
			best = pr
		}
	}
	if best == nil {
		n.emit(Rejected{id: in.id, err: &TransferError{reason: "no other voter is reachable"}})
		return
	}
	if n.leaderState.leadershipTransfer.target == "" {
		n.leaderState.leadershipTransfer = leadershipTransfer{id: in.id, target: best.vm, startedAt: n.now}
	}
	n.tickTransfer()
}

// tickTransfer sends TimeoutNow to the target once it has the whole log. A
// transfer ends MinElectionTimeout after its start at the latest: the leader
// steps down if it has sent TimeoutNow, and otherwise rejects the transfer.
func (n *Node) tickTransfer() {
	tr := &n.leaderState.leadershipTransfer
	if n.state != leader || tr.target == "" {
		return
	}
	pr := n.leaderState.peers[tr.target]
	timedOut := n.since(tr.startedAt) >= MinElectionTimeout
	switch {
	case n.leaderState.leaseReleased && (timedOut || pr == nil):
		// The lease of this term cannot be regained, even if the target has
		// been removed from the group since.
		n.stepDown()
	case timedOut || pr == nil:
		n.emit(Rejected{id: tr.id, err: &TransferError{reason: string(tr.target) + " has not caught up"}})
		n.leaderState.leadershipTransfer = leadershipTransfer{}
	case pr.match < n.log.last():
	case !n.leaderState.leaseReleased || n.since(tr.timeoutNowSentAt) >= HeartbeatInterval:
		n.leaderState.leaseReleased = true
		tr.timeoutNowSentAt = n.now
		n.send(MessageSpec{Kind: TimeoutNow, To: pr.vm, Term: n.term})
	}
}
