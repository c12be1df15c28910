package quorum

import (
	"guavarail/core/event"
)

// onMessage handles a message of another replica.
func (n *Node) onMessage(spec MessageSpec) {
	if spec.ToDisk == n.cfg.Disk && spec.Acked > n.log.last() && n.cfg.Disk != "" {
		n.fail(&StaleDiskError{disk: n.cfg.Disk, last: n.log.last(), acked: spec.Acked})
		return
	}
	if spec.ToDisk != "" && spec.ToDisk != n.cfg.Disk {
		n.disown(spec)
	}
	if n.muted != nil && spec.Kind != Append {
		return
	}
	switch spec.Kind {
	case PreVote, Vote:
		n.onVoteRequest(spec)
	case PreVoteReply, VoteReply:
		n.onVoteReply(spec)
	case Append:
		n.onAppend(spec)
	case AppendReply, PieceReply:
		if spec.Term > n.term {
			n.newTerm(spec.Term)
			return
		}
		if spec.Kind == PieceReply {
			n.onPieceReply(spec)
			return
		}
		n.onAppendReply(spec)
	case Piece:
		n.onPiece(spec)
	case TimeoutNow:
		if spec.Term == n.term && n.standing != leader && n.isVoter() {
			n.startElection(true)
			n.countVotes()
		}
	}
}

// disown notes that the sender knows this VM with another disk.
func (n *Node) disown(spec MessageSpec) {
	if !n.disowned {
		n.disowned = true
		n.report("diskNotMember", n.cfg.Self, event.NewField("disk", string(n.cfg.Disk)), event.NewField("expected", string(spec.ToDisk)))
	}
}

// followLeader accepts the sender as the leader of its term. It returns false
// for an old leader and for a message meant for another disk.
func (n *Node) followLeader(spec MessageSpec) bool {
	reply := MessageSpec{Kind: AppendReply, To: spec.From, Term: n.term, Reject: true, Sent: spec.Sent}
	if spec.Term < n.term || spec.ToDisk != "" && spec.ToDisk != n.cfg.Disk {
		n.send(reply)
		return false
	}
	if spec.Term > n.term {
		n.newTerm(spec.Term)
	}
	n.stepDown()
	n.leader = spec.From
	n.heard, n.heardAny = n.now, true
	n.lastSent = max(n.lastSent, spec.Sent)
	n.resetDeadline()
	for _, ak := range spec.Acks {
		n.known[ak.disk] = max(n.known[ak.disk], ak.index)
	}
	return true
}

func (n *Node) onAppend(spec MessageSpec) {
	if !n.followLeader(spec) {
		return
	}
	prev, ents := n.skipCompacted(spec.Index, spec.Entries)
	// A committed entry is in every later leader's log.
	if term, ok := n.termAt(prev); prev > n.commit && (!ok || term != spec.LogTerm) {
		n.send(MessageSpec{
			Kind: AppendReply, To: spec.From, Term: n.term, Reject: true,
			Index: n.hint(prev), Sent: spec.Sent,
		})
		return
	}
	wrote := n.merge(ents)
	if n.failed != nil {
		return
	}
	n.verified = max(n.verified, prev+uint64(len(ents)))
	n.commitTo(min(spec.Commit, n.verified))
	if !wrote {
		n.acknowledgeRound(spec)
	}
}

// skipCompacted leaves out entries that are committed and no longer in the
// log.
func (n *Node) skipCompacted(prev uint64, ents []Entry) (uint64, []Entry) {
	for prev < n.log.base && len(ents) > 0 {
		prev, ents = prev+1, ents[1:]
	}
	return prev, ents
}

// hint returns the highest entry below prev that may match the leader's log.
func (n *Node) hint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	idx := prev - 1
	bad, _ := n.termAt(prev)
	for idx > n.commit {
		if term, ok := n.termAt(idx); !ok || term != bad {
			break
		}
		idx--
	}
	return idx
}

// merge adds the entries that the log lacks and replaces those that differ.
func (n *Node) merge(ents []Entry) bool {
	wrote := false
	for _, ent := range ents {
		if term, ok := n.termAt(ent.index); ok && ent.index <= n.log.last() {
			if term == ent.term {
				continue
			}
			if ent.index <= n.commit {
				n.fail(&ConflictError{index: ent.index})
				return false
			}
			n.cutLog(ent.index)
		}
		n.write(ent)
		wrote = true
	}
	return wrote
}

// acknowledge tells the leader what is on disk, after a write.
func (n *Node) acknowledge() {
	if n.leader != "" && n.standing == follower {
		n.acknowledgeRound(MessageSpec{From: n.leader, Sent: n.lastSent})
	}
}

func (n *Node) acknowledgeRound(spec MessageSpec) {
	if n.muted != nil {
		return
	}
	n.send(MessageSpec{
		Kind: AppendReply, To: spec.From, Term: n.term,
		Index: min(n.verified, n.durable), Sent: spec.Sent,
	})
}

// commitTo applies the entries up to idx.
func (n *Node) commitTo(idx uint64) {
	for n.commit < idx {
		ent, ok := n.log.at(n.commit + 1)
		if !ok {
			return
		}
		n.commit++
		n.logBytes += ent.size()
		n.emit(Apply{entry: ent})
		if ent.kind == EntryMembers {
			n.report("membersChanged", n.cfg.Self, event.NewField("members", ent.members.String()))
		}
	}
	n.considerSnapshot()
}
