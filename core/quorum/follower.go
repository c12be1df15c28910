package quorum

import (
	"strconv"

	"guavarail/core/event"
)

// onMessage handles a message from another replica. If the message states that
// this disk has acknowledged an entry that its log lacks, the replica fails. A
// passive replica handles only Append.
func (n *Node) onMessage(spec MessageSpec) {
	if spec.ToDisk == n.cfg.Disk && spec.Acked > n.log.last() && n.cfg.Disk != "" {
		n.fail(&StaleDiskError{disk: n.cfg.Disk, last: n.log.last(), acked: spec.Acked})
		return
	}
	if spec.ToDisk != "" && spec.ToDisk != n.cfg.Disk {
		n.recordDiskMismatch(spec)
	}
	if n.passiveErr != nil && spec.Kind != Append {
		return
	}
	switch spec.Kind {
	case PreVote, Vote:
		n.onVoteRequest(spec)
	case PreVoteReply, VoteReply:
		n.onVoteReply(spec)
	case Append:
		n.onAppend(spec)
	case AppendReply, SnapshotChunkReply:
		if spec.Term > n.term {
			n.newTerm(spec.Term)
			return
		}
		if spec.Kind == SnapshotChunkReply {
			n.onChunkReply(spec)
			return
		}
		n.onAppendReply(spec)
	case SnapshotChunk:
		n.onChunk(spec)
	case TimeoutNow:
		if spec.Term == n.term && n.state != leader && n.isVoter() {
			n.startElection(true)
			n.countVotes()
		}
	}
}

// recordDiskMismatch sets diskMismatch, because the sender's configuration lists
// this VM with another disk. The first time, it also records an event.
func (n *Node) recordDiskMismatch(spec MessageSpec) {
	if !n.diskMismatch {
		n.diskMismatch = true
		n.recordEvent("diskNotMember", n.cfg.Self, event.NewField("disk", string(n.cfg.Disk)), event.NewField("expected", string(spec.ToDisk)))
	}
}

// followLeader accepts the sender of an Append or SnapshotChunk as the leader of
// its term. A message of an earlier term or for another disk is rejected with a
// reply, and the result is false.
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
	n.lastLeaderContact, n.hadLeaderContact = n.now, true
	n.leaderSentAt = max(n.leaderSentAt, spec.Sent)
	n.resetElectionDeadline()
	for _, ak := range spec.Acks {
		n.diskAcks[ak.disk] = max(n.diskAcks[ak.disk], ak.index)
	}
	return true
}

func (n *Node) onAppend(spec MessageSpec) {
	if !n.followLeader(spec) {
		return
	}
	prev, ents := n.skipCompacted(spec.Index, spec.Entries)
	// Committed entries need no check, as every later leader's log has them.
	if term, ok := n.termAt(prev); prev > n.commit && (!ok || term != spec.LogTerm) {
		n.send(MessageSpec{
			Kind: AppendReply, To: spec.From, Term: n.term, Reject: true,
			Index: n.conflictHint(prev), Sent: spec.Sent,
		})
		return
	}
	appended := n.mergeEntries(ents)
	if n.fatalErr != nil {
		return
	}
	n.matchIndex = max(n.matchIndex, prev+uint64(len(ents)))
	n.commitTo(min(spec.Commit, n.matchIndex))
	// Otherwise onPersisted replies once the entries are on disk.
	if !appended {
		n.replyAppend(spec)
	}
}

// skipCompacted skips entries that are no longer in the log, because they are
// committed and compacted. It returns the index before the remaining ones.
func (n *Node) skipCompacted(prev uint64, ents []Entry) (uint64, []Entry) {
	for prev < n.log.base && len(ents) > 0 {
		prev, ents = prev+1, ents[1:]
	}
	return prev, ents
}

// conflictHint returns the highest index at which this log may match the leader's.
// It skips all uncommitted entries with the term of the conflicting entry at
// prev.
func (n *Node) conflictHint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	idx := prev - 1
	conflictTerm, _ := n.termAt(prev)
	for idx > n.commit {
		if term, ok := n.termAt(idx); !ok || term != conflictTerm {
			break
		}
		idx--
	}
	return idx
}

// mergeEntries appends the entries that are not in the log and replaces those
// with another term. It reports whether it appended any.
func (n *Node) mergeEntries(ents []Entry) bool {
	appended := false
	for _, ent := range ents {
		if term, ok := n.termAt(ent.index); ok && ent.index <= n.log.last() {
			if term == ent.term {
				continue
			}
			if ent.index <= n.commit {
				n.fail(&ConflictError{index: ent.index})
				return false
			}
			n.truncateLog(ent.index)
		}
		n.appendEntry(ent)
		appended = true
	}
	return appended
}

// acknowledgeWrite replies to the last message of the leader after a write.
func (n *Node) acknowledgeWrite() {
	if n.leader != "" && n.state == follower {
		n.replyAppend(MessageSpec{From: n.leader, Sent: n.leaderSentAt})
	}
}

// replyAppend acknowledges the entries that match the leader's log and are on
// disk.
func (n *Node) replyAppend(spec MessageSpec) {
	if n.passiveErr != nil {
		return
	}
	n.send(MessageSpec{
		Kind: AppendReply, To: spec.From, Term: n.term,
		Index: min(n.matchIndex, n.durable), Sent: spec.Sent,
	})
}

// recordMembers records a committed configuration with the number of voters and of
// the disks that a commit needs under it.
func (n *Node) recordMembers(mems Members) {
	n.recordEvent("membersChanged", n.cfg.Self, event.NewField("members", mems.String()),
		event.NewField("voters", strconv.Itoa(mems.Voters())),
		event.NewField("commitCopies", strconv.Itoa(n.commitCopies(mems))))
}

// commitTo commits and applies the entries of the log up to idx.
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
			n.recordMembers(ent.members)
		}
	}
	n.maybeTakeSnapshot()
}
