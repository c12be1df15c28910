package quorum

import "guavarail/core/model"

// progress is the replication state of another member, kept by the leader.
type progress struct {
	vm model.VMID
	// disk is the disk that the member's last accepted reply came from, or ""
	// before the first.
	disk DiskID
	// otherDisk is the disk that the member's last reply came from if it is not the one
	// in the configuration, or "".
	otherDisk DiskID
	// match is the index of the last entry known to be on the member's disk.
	match uint64
	// next is the index of the next entry to send. It is above match.
	next uint64
	// inFlight is the number of Append messages with entries that are not
	// acknowledged yet.
	inFlight int
	// lastAckedSendTime is the send time of the latest message to which the member
	// replied.
	lastAckedSendTime model.Instant
	// replied reports whether the member has replied in this term.
	replied bool
	// sentAckVersion is the ackVersion of the last ack list sent to the member.
	sentAckVersion   uint64
	outgoingSnapshot outgoingSnapshot
}

// appendTo sends the next entries to a member, or starts a snapshot transfer if
// they are no longer in memory. If it sends no entries and heartbeat is set, it
// sends an empty Append.
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
	} else if pr.inFlight < maxAppendsInFlight {
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
		if pos > 0 && (size > maxAppendBytes || pos >= maxAppendEntries) {
			return ents[:pos]
		}
	}
	return ents
}

func (n *Node) onAppendReply(spec MessageSpec) {
	pr := n.leaderState.peers[spec.From]
	if !n.acceptReply(pr, spec) {
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

// ReplacedVoters returns the voters whose VMs have answered this leader from another
// disk than the one in the configuration. The list is empty on other replicas.
func (n *Node) ReplacedVoters() []model.VMID {
	var lst []model.VMID
	for _, mem := range n.members().voters() {
		if pr := n.leaderState.peers[mem.vm]; n.state == leader && pr != nil && pr.otherDisk != "" && pr.otherDisk != mem.disk {
			lst = append(lst, mem.vm)
		}
	}
	return lst
}

// recordReply records a reply to a message that was sent at the given time. A
// send time in the future was not taken from this VM's clock and must not extend
// the lease.
func (pr *progress) recordReply(sent, now model.Instant) {
	pr.lastAckedSendTime, pr.replied = max(pr.lastAckedSendTime, min(sent, now)), true
}

// acceptReply reports whether a reply is of the current term and comes from the
// member's disk in the configuration. A learner, for which the configuration has
// no disk, may reply from a new disk; its progress then starts anew.
func (n *Node) acceptReply(pr *progress, spec MessageSpec) bool {
	if n.state != leader || pr == nil {
		return false
	}
	mem, _ := n.members().Find(pr.vm)
	pr.otherDisk = ""
	if mem.disk != "" && mem.disk != spec.Disk {
		pr.otherDisk = spec.Disk
		n.recordUnknownDisk(spec)
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
