package quorum

import (
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// leaderState is the state that only a leader has. It is zero in other
// replicas.
type leaderState struct {
	// peers holds the progress of every member except this replica.
	peers map[model.VMID]*progress
	// termStart is the index of the entry that the leader appended at the start
	// of its term.
	termStart uint64
	// previousTerm is the term of the entry before termStart, 0 for none. No leader
	// of a later one has held the lease, because it would have committed an entry.
	previousTerm uint64
	// formerLeaseEnd is when the leases of all earlier terms had ended.
	formerLeaseEnd model.Instant
	// chosen is the index of the last entry that a majority of the voters was
	// seen to have on disk in this term. Every later leader has it. It is ahead
	// of the commit index while fewer than Config.MinCopies disks have the entry.
	chosen    uint64
	electedAt model.Instant
	// lastHeartbeatAt is when the last round of heartbeats was sent, and
	// heartbeatRounds the number of rounds in this term.
	lastHeartbeatAt model.Instant
	heartbeatRounds uint64
	// ackVersion is incremented with each change of diskAcks.
	ackVersion         uint64
	leadershipTransfer leadershipTransfer
	// leaseReleased is set when a TimeoutNow was sent: its target may start an
	// election at any time, so this leader has no lease for the rest of the
	// term.
	leaseReleased bool
	// pendingChange is a membership change, proposed at changeProposedAt, that
	// is not in the log yet. It is nil if there is none.
	pendingChange    *ProposeChange
	changeProposedAt model.Instant
}

// becomeLeader appends the first entry of the new term: in a new group the
// bootstrap configuration, and otherwise an empty entry.
func (n *Node) becomeLeader() {
	n.state, n.leader = leader, n.cfg.Self
	n.leaderState = leaderState{peers: map[model.VMID]*progress{}, termStart: n.log.last() + 1, previousTerm: n.lastTerm(), electedAt: n.now}
	n.leaderState.formerLeaseEnd = min(n.now, n.campaign.lastContact.Add(model.WithDrift(LeaseDuration)))
	n.recordEvent("leaderElected", n.cfg.Self, event.NewField("term", strconv.FormatUint(n.term, 10)))
	if mems := n.members(); !mems.disksKnown() {
		n.appendEntry(NewMembersEntry(n.log.last()+1, n.term, n.bootstrapMembers(mems)))
	} else {
		n.appendEntry(NewEntry(n.log.last()+1, n.term, EntryEmpty, nil))
	}
	n.updatePeers()
	n.sendHeartbeats()
}

// bootstrapMembers returns mems with the disks of the voters, which all voted for
// this replica.
func (n *Node) bootstrapMembers(mems Members) Members {
	lst := mems.List()
	for pos, mem := range lst {
		if mem.voter {
			lst[pos].disk = n.campaign.granted[mem.vm]
		}
	}
	return NewMembers(true, lst...)
}

// updatePeers adds progress for new members and deletes that of removed ones.
func (n *Node) updatePeers() {
	mems := n.members()
	for _, mem := range mems.list {
		if n.leaderState.peers[mem.vm] == nil && mem.vm != n.cfg.Self {
			n.leaderState.peers[mem.vm] = &progress{vm: mem.vm, next: n.leaderState.termStart}
		}
	}
	for vm := range n.leaderState.peers {
		if _, ok := mems.Find(vm); !ok {
			delete(n.leaderState.peers, vm)
		}
	}
}

// tickLeader steps down if no quorum has replied to messages of the last
// MaxElectionTimeout, because other voters may then elect a leader. Otherwise it
// handles the timers of transfers, membership changes and heartbeats.
func (n *Node) tickLeader() {
	if n.since(n.leaderState.electedAt) > MaxElectionTimeout && n.since(n.lastQuorumContact(n.now)) > MaxElectionTimeout {
		n.recordEvent("quorumUnreachable", n.cfg.Self)
		n.stepDown()
		return
	}
	n.tickTransfer()
	n.expirePendingChange()
	if n.state == leader && n.since(n.leaderState.lastHeartbeatAt) >= HeartbeatInterval {
		n.sendHeartbeats()
	}
}

// sendHeartbeats sends a round of heartbeats. It also resets inFlight, because
// the unacknowledged Append messages or their replies may be lost.
func (n *Node) sendHeartbeats() {
	n.leaderState.lastHeartbeatAt = n.now
	n.leaderState.heartbeatRounds++
	for _, mem := range n.members().list {
		pr := n.leaderState.peers[mem.vm]
		if pr == nil || !mem.voter && n.leaderState.heartbeatRounds%learnerHeartbeatRounds != 1 {
			continue
		}
		pr.inFlight = 0
		n.appendTo(pr, true)
	}
}

// replicate sends new entries to every member with less than maxAppendsInFlight
// unacknowledged Append messages.
func (n *Node) replicate() {
	for _, mem := range n.members().list {
		if pr := n.leaderState.peers[mem.vm]; pr != nil {
			n.appendTo(pr, false)
		}
	}
}

// advanceCommit commits the entries that enough voters have on disk and updates
// diskAcks.
func (n *Node) advanceCommit() {
	n.commitReplicated()
	// A voter may acknowledge an entry after its commit, so diskAcks can change
	// although the commit index does not.
	for _, mem := range n.members().voters() {
		idx := min(n.matchOf(mem), n.commit)
		if n.state == leader && mem.disk != "" && idx > n.diskAcks[mem.disk] {
			n.diskAcks[mem.disk] = idx
			n.leaderState.ackVersion++
		}
	}
}

// commitReplicated commits up to the latest entry that commitCopies voters have on
// disk, if it is of the current term. Entries of earlier terms are committed only
// by a later one of this term. The same holds for chosen and a majority.
func (n *Node) commitReplicated() {
	var vals []uint64
	for _, mem := range n.members().voters() {
		vals = append(vals, n.matchOf(mem))
	}
	if idx := quorumValue(vals, n.quorum()); n.isCurrentTerm(idx) {
		n.leaderState.chosen = max(n.leaderState.chosen, idx)
	}
	idx := quorumValue(vals, n.commitCopies(n.members()))
	if idx <= n.commit || !n.isCurrentTerm(idx) {
		return
	}
	n.commitTo(idx)
	n.finishBootstrap()
	if !n.isVoter() {
		// The leader has removed itself. A last heartbeat distributes the commit
		// index before it steps down.
		n.sendHeartbeats()
		n.stepDown()
	}
}

// isCurrentTerm reports whether the entry at idx is in the log and of the current
// term.
func (n *Node) isCurrentTerm(idx uint64) bool {
	term, ok := n.termAt(idx)
	return ok && term == n.term
}

// chosenIndex returns the index of the last entry that every later leader is known
// to have.
func (n *Node) chosenIndex() uint64 { return max(n.commit, n.leaderState.chosen) }

// finishBootstrap appends a configuration without the bootstrap flag once every
// voter has the bootstrap configuration on disk. With it, a majority of the
// voters is a quorum.
func (n *Node) finishBootstrap() {
	if mems := n.members(); mems.bootstrap && n.commit >= n.configs[len(n.configs)-1].index {
		n.appendEntry(NewMembersEntry(n.log.last()+1, n.term, NewMembers(false, mems.list...)))
		n.replicate()
	}
}

// matchOf returns the index of the last entry known to be on the disk of a member.
func (n *Node) matchOf(mem Member) uint64 {
	if mem.vm == n.cfg.Self {
		return n.durable
	}
	if pr := n.leaderState.peers[mem.vm]; pr != nil {
		return pr.match
	}
	return 0
}

// ackList returns the content of diskAcks for the disks of the voters.
func (n *Node) ackList() []Ack {
	var lst []Ack
	for _, mem := range n.members().voters() {
		if idx := n.diskAcks[mem.disk]; idx > 0 && mem.disk != "" {
			lst = append(lst, Ack{disk: mem.disk, index: idx})
		}
	}
	return lst
}

// lastQuorumContact returns the latest time such that a quorum has replied to a
// message sent at or after it. The leader itself counts as replying at now.
func (n *Node) lastQuorumContact(now model.Instant) model.Instant {
	var vals []model.Instant
	for _, mem := range n.members().voters() {
		pr := n.leaderState.peers[mem.vm]
		switch {
		case mem.vm == n.cfg.Self:
			vals = append(vals, now)
		case pr != nil && pr.replied:
			vals = append(vals, pr.lastAckedSendTime)
		default:
			vals = append(vals, neverAcked)
		}
	}
	return quorumValue(vals, n.quorum())
}

// leased reports whether this replica holds the leader lease at the given time.
// It requires a committed entry of this term, which implies that all entries
// committed in earlier terms are applied.
func (n *Node) leased(now model.Instant) bool {
	return n.state == leader && !n.leaderState.leaseReleased && n.commit >= n.leaderState.termStart && n.isVoter() &&
		now.Sub(n.lastQuorumContact(now)) < LeaseDuration
}

func (n *Node) onPropose(lst []Proposal) {
	if n.state != leader || n.leaderState.leadershipTransfer.target != "" {
		for _, pro := range lst {
			n.emit(Rejected{id: pro.id, err: n.notLeaderError()})
		}
		return
	}
	for _, pro := range lst {
		ent := NewEntry(n.log.last()+1, n.term, EntryCommand, pro.data)
		n.appendEntry(ent)
		n.emit(Accepted{id: pro.id, index: ent.index, term: ent.term})
	}
	n.replicate()
}

// notLeaderError returns an error with the VM to ask instead of this one: the
// target of a transfer in progress, or the known leader.
func (n *Node) notLeaderError() error {
	if tgt := n.leaderState.leadershipTransfer.target; tgt != "" {
		return NewNotLeaderError(tgt)
	}
	if n.leader == n.cfg.Self {
		return NewNotLeaderError("")
	}
	return NewNotLeaderError(n.leader)
}
