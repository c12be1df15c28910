package quorum

import "guavarail/core/model"

// progress is the replication state of another member, kept by the leader.
type progress struct {
	vm   model.VMID
	disk DiskID
	// match is the last entry known to be on the member's disk.
	match uint64
	// next is the next entry to send. It is above match.
	next uint64
	// inFlight is the number of Append messages with entries that are not
	// acknowledged yet.
	inFlight int
	// lastAckedSendTime is the send time of the latest message to which the member
	// replied.
	lastAckedSendTime model.Instant
	replied           bool
	// sentAckVersion is the ackVersion of the last ack list sent to the member.
	sentAckVersion   uint64
	outgoingSnapshot outgoingSnapshot
}

// appendTo sends the next entries to a member. If there are none, it sends an
// empty Append if heartbeat is set.
func (n *Node) appendTo(pr *progress, heartbeat bool) {
	prev := pr.next - 1
	term, ok := n.termAt(prev)
	if !ok || prev < n.log.base {
		n.startSnapshotTransfer(pr)
	}
	var ents []Entry
	if pr.outgoingSnapshot.active {
		// An empty Append at index 0 matches any log and prevents the member
		// from starting an election.
		prev, term = 0, 0
	} else if pr.inFlight < appendsInFlight {
		ents = limitAppend(n.log.from(pr.next))
	}
	if len(ents) == 0 && !heartbeat {
		return
	}
	spec := MessageSpec{
		Kind: Append, To: pr.vm, Term: n.term, Index: prev, LogTerm: term,
		Commit: n.commit, Entries: ents, Sent: n.now,
	}
	if heartbeat && pr.sentAckVersion < n.leaderState.ackVersion {
		spec.Acks, pr.sentAckVersion = n.ackList(), n.leaderState.ackVersion
	}
	n.send(spec)
	if len(ents) > 0 {
		pr.next = ents[len(ents)-1].index + 1
		pr.inFlight++
	}
	n.resendChunk(pr, heartbeat)
}

// limitAppend returns the leading entries that fit into one Append. It returns
// at least one if there is any.
func limitAppend(ents []Entry) []Entry {
	size := 0
	for pos, ent := range ents {
		size += ent.size()
		if pos > 0 && (size > appendBytes || pos >= appendEntries) {
			return ents[:pos]
		}
	}
	return ents
}

func (n *Node) onAppendReply(spec MessageSpec) {
	pr := n.leaderState.peers[spec.From]
	if !n.checkReplySender(pr, spec) {
		return
	}
	pr.recordReply(spec.Sent, n.now)
	if spec.Reject {
		if retryFrom := max(pr.match, min(spec.Index, n.log.last())) + 1; retryFrom < pr.next {
			pr.next, pr.inFlight = retryFrom, 0
			n.appendTo(pr, false)
		}
		return
	}
	pr.inFlight = max(0, pr.inFlight-1)
	if spec.Index > pr.match {
		pr.match = min(spec.Index, n.log.last())
		pr.next = max(pr.next, pr.match+1)
		n.advanceCommit()
		n.tickTransfer()
	}
	n.tryPendingChange()
	if n.state == leader {
		n.appendTo(pr, false)
	}
}

// recordReply records a reply to a message that was sent at the given time. A
// send time in the future comes from another clock and must not extend the
// lease.
func (pr *progress) recordReply(sent, now model.Instant) {
	pr.lastAckedSendTime, pr.replied = max(pr.lastAckedSendTime, min(sent, now)), true
}

// checkReplySender reports whether a reply is of the current term and comes from
// the disk of the member. It resets the progress of a learner with a new disk,
// and ignores a voter with another disk than in the configuration.
func (n *Node) checkReplySender(pr *progress, spec MessageSpec) bool {
	if n.state != leader || pr == nil {
		return false
	}
	mem, _ := n.members().Find(pr.vm)
	if mem.disk != "" && mem.disk != spec.Disk {
		n.reportUnknownDisk(spec)
		return false
	}
	if spec.Term != n.term {
		return false
	}
	if pr.disk != spec.Disk {
		if pr.disk != "" {
			pr.match, pr.next, pr.outgoingSnapshot = 0, n.log.last()+1, outgoingSnapshot{}
		}
		pr.disk = spec.Disk
	}
	return true
}
