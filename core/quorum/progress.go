package quorum

import "guavarail/core/model"

// progress is what the leader knows about one other member.
type progress struct {
	vm    model.VMID
	disk  DiskID
	match uint64
	// next is the next entry to send, above match.
	next uint64
	// inFlight counts the appends with entries that are not answered yet.
	inFlight int
	// acked is the send time of the newest round that the member answered.
	acked   model.Instant
	replied bool
	// acks is the count of changes that the last list of acks contained.
	acks     uint64
	outgoing outgoing
}

// appendTo sends the next entries to a member, or without entries a heartbeat
// if one is due.
func (n *Node) appendTo(pr *progress, beat bool) {
	prev := pr.next - 1
	term, ok := n.termAt(prev)
	if !ok || prev < n.log.base {
		n.startOutgoing(pr)
	}
	var ents []Entry
	if pr.outgoing.active {
		// An empty append at the start of the log fits any member and keeps it
		// from starting an election.
		prev, term = 0, 0
	} else if pr.inFlight < appendsInFlight {
		ents = limit(n.log.from(pr.next))
	}
	if len(ents) == 0 && !beat {
		return
	}
	spec := MessageSpec{
		Kind: Append, To: pr.vm, Term: n.term, Index: prev, LogTerm: term,
		Commit: n.commit, Entries: ents, Sent: n.now,
	}
	if beat && pr.acks < n.lead.acks {
		spec.Acks, pr.acks = n.acks(), n.lead.acks
	}
	n.send(spec)
	if len(ents) > 0 {
		pr.next = ents[len(ents)-1].index + 1
		pr.inFlight++
	}
	n.resendPiece(pr, beat)
}

// limit returns the entries that fit into one append, at least one.
func limit(ents []Entry) []Entry {
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
	pr := n.lead.peers[spec.From]
	if !n.fromMember(pr, spec) {
		return
	}
	pr.heard(spec.Sent, n.now)
	if spec.Reject {
		if back := max(pr.match, min(spec.Index, n.log.last())) + 1; back < pr.next {
			pr.next, pr.inFlight = back, 0
			n.appendTo(pr, false)
		}
		return
	}
	pr.inFlight = max(0, pr.inFlight-1)
	if spec.Index > pr.match {
		pr.match = min(spec.Index, n.log.last())
		pr.next = max(pr.next, pr.match+1)
		n.advance()
		n.tickTransfer()
	}
	n.tryChange()
	if n.standing == leader {
		n.appendTo(pr, false)
	}
}

// heard notes the answer to the round that was sent at the given time. A time
// in the future comes from another clock and must not lengthen the lease.
func (pr *progress) heard(sent, now model.Instant) {
	pr.acked, pr.replied = max(pr.acked, min(sent, now)), true
}

// fromMember checks the sender of a reply. A learner with a new disk starts
// over; a voter with another disk does not count.
func (n *Node) fromMember(pr *progress, spec MessageSpec) bool {
	if n.standing != leader || pr == nil {
		return false
	}
	mem, _ := n.members().Find(pr.vm)
	if mem.disk != "" && mem.disk != spec.Disk {
		n.noticeForeign(spec)
		return false
	}
	if spec.Term != n.term {
		return false
	}
	if pr.disk != spec.Disk {
		if pr.disk != "" {
			pr.match, pr.next, pr.outgoing = 0, n.log.last()+1, outgoing{}
		}
		pr.disk = spec.Disk
	}
	return true
}
