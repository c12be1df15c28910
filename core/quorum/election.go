package quorum

import (
	"slices"
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// campaign is the state of an election that this replica started.
type campaign struct {
	// granted maps each voter that granted its vote, or its pre-vote in a
	// preCandidate, to its disk.
	granted map[model.VMID]DiskID
	// seq is the number of the write of the replica's own vote, which counts
	// only once it is on disk.
	seq uint64
	// lastContact is the last time at which a voter that granted its vote can have
	// received a message that a leader relies on for its lease, or led itself. A
	// lease needs a quorum, which has one of these voters.
	lastContact model.Instant
	// transfer is set if TimeoutNow caused the election.
	transfer bool
}

// onTick handles the timers of a leader. A voter without a leader starts an election
// with a PreVote once electionDeadline is reached.
func (n *Node) onTick() {
	if n.state == leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) || !n.mayCampaign() || n.passiveErr != nil {
		return
	}
	n.state, n.leader = preCandidate, ""
	n.campaign = campaign{granted: map[model.VMID]DiskID{n.cfg.Self: n.cfg.Disk}}
	n.resetElectionDeadline()
	n.requestVotes(PreVote, n.term+1)
	n.countVotes()
}

// mayCampaign reports whether the replica is a voter in the committed or in a later
// configuration. The earlier ones matter because a removed voter may be the only
// one whose log contains its uncommitted removal. A replica with
// diskMismatch does not campaign with a configuration that accepts any disk.
func (n *Node) mayCampaign() bool {
	if n.diskMismatch && !n.members().disksKnown() {
		return false
	}
	committed := n.configAt(n.commit).index
	return slices.ContainsFunc(n.configs, func(ic indexedConfig) bool {
		return ic.index >= committed && ic.members.isVoter(n.cfg.Self, n.cfg.Disk)
	})
}

// startElection starts a new term in which the replica votes for itself. transfer
// is set if TimeoutNow caused the election.
func (n *Node) startElection(transfer bool) {
	n.newTerm(n.term + 1)
	n.state, n.vote = candidate, n.cfg.Self
	n.campaign = campaign{granted: map[model.VMID]DiskID{}, seq: n.seq + 1, transfer: transfer, lastContact: n.lastContact()}
	n.resetElectionDeadline()
	n.requestVotes(Vote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, mem := range n.members().voters() {
		if mem.vm == n.cfg.Self {
			continue
		}
		spec := MessageSpec{
			Kind: kind, To: mem.vm, Term: term, Index: n.log.last(), LogTerm: n.lastTerm(),
			Transfer: n.campaign.transfer,
		}
		if kind == Vote {
			n.sendAfterSync(spec)
		} else {
			n.send(spec)
		}
	}
}

// newTerm makes the replica a follower in a higher term, with no known leader
// and no vote.
func (n *Node) newTerm(term uint64) {
	n.stepDown()
	n.term, n.vote, n.leader = term, "", ""
	n.matchIndex, n.leaderSentAt = 0, 0
	n.dirtyHardState = true
}

// stepDown makes the replica a follower in the current term. A leader also rejects
// its pending change and resets leaderState.
func (n *Node) stepDown() {
	if n.state == leader {
		n.recordEvent("leadershipLost", n.cfg.Self, event.NewField("term", strconv.FormatUint(n.term, 10)))
		n.rejectPendingChange()
		n.leaderState = leaderState{}
		n.leader, n.ledUntil = "", n.now
		n.resetElectionDeadline()
	}
	n.state = follower
}

// lastContact returns the last time at which a leader may have relied on this replica
// for its lease: that of its last message, or when this replica led or started.
func (n *Node) lastContact() model.Instant { return max(n.lastLeaderContact, n.ledUntil) }

// countVotes starts an election once a quorum has granted its pre-votes, and
// makes the replica leader once a quorum has granted its votes. Votes from
// another disk than the one in the configuration do not count.
func (n *Node) countVotes() {
	if n.state == candidate && n.synced >= n.campaign.seq {
		n.campaign.granted[n.cfg.Self] = n.cfg.Disk
	}
	count := 0
	for _, mem := range n.members().voters() {
		disk, ok := n.campaign.granted[mem.vm]
		if ok && (mem.disk == "" || mem.disk == disk) {
			count++
		}
	}
	if count < n.quorum() {
		return
	}
	switch n.state {
	case preCandidate:
		n.startElection(false)
	case candidate:
		n.becomeLeader()
	}
}

// onVoteRequest replies to PreVote and Vote. A PreVote does not change the term or
// the vote.
func (n *Node) onVoteRequest(spec MessageSpec) {
	reply := MessageSpec{Kind: VoteReply, To: spec.From, Term: n.term, Reject: true}
	if spec.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	if spec.Term < n.term || spec.Term == n.term && spec.Kind == PreVote || n.supportsLeader(spec) ||
		!n.candidateDiskValid(spec) {
		n.send(reply)
		return
	}
	upToDate := spec.LogTerm > n.lastTerm() || spec.LogTerm == n.lastTerm() && spec.Index >= n.log.last()
	if spec.Kind == PreVote {
		if upToDate {
			reply.Term, reply.Reject = spec.Term, false
		}
		n.send(reply)
		return
	}
	if spec.Term > n.term {
		n.newTerm(spec.Term)
	}
	reply.Term = n.term
	if upToDate && n.state != leader && (n.vote == "" || n.vote == spec.From) {
		n.dirtyHardState = n.dirtyHardState || n.vote == ""
		n.vote, n.state = spec.From, follower
		n.resetElectionDeadline()
		reply.Reject, reply.SinceContact = false, n.since(n.lastContact())
	}
	n.sendAfterSync(reply)
}

// supportsLeader reports whether a leader may still hold a lease that relies on
// this replica not voting. A leader that sent TimeoutNow has released the lease
// of its term, so the candidate of exactly the next term gets votes at once.
func (n *Node) supportsLeader(spec MessageSpec) bool {
	if spec.Transfer && spec.Term == n.term+1 {
		return false
	}
	if n.state == leader && !n.leaderState.leaseReleased && n.since(n.lastQuorumContact(n.now)) < MinElectionTimeout {
		return true
	}
	return n.hadLeaderContact && n.since(n.lastLeaderContact) < MinElectionTimeout
}

// candidateDiskValid returns false for a candidate whose disk differs from the
// one in the configuration, or whose log ends before the last committed entry
// that the disk is known to have acknowledged.
func (n *Node) candidateDiskValid(spec MessageSpec) bool {
	if mem, ok := n.members().Find(spec.From); ok && mem.voter && mem.disk != "" && mem.disk != spec.Disk {
		n.recordUnknownDisk(spec)
		return false
	}
	return spec.Index >= n.diskAcks[spec.Disk]
}

func (n *Node) onVoteReply(spec MessageSpec) {
	if spec.Reject {
		if spec.Term > n.term {
			n.newTerm(spec.Term)
		}
		return
	}
	preVote := n.state == preCandidate && spec.Kind == PreVoteReply && spec.Term == n.term+1
	vote := n.state == candidate && spec.Kind == VoteReply && spec.Term == n.term
	if preVote || vote {
		n.campaign.granted[spec.From] = spec.Disk
		n.campaign.lastContact = max(n.campaign.lastContact, n.now.Add(-model.LessDrift(spec.SinceContact)))
		n.countVotes()
	}
}

// recordUnknownDisk records an event for a sender whose disk differs from the one
// in the configuration. Consecutive messages from the same disk cause one event.
func (n *Node) recordUnknownDisk(spec MessageSpec) {
	if n.lastUnknownDisk == spec.Disk {
		return
	}
	n.lastUnknownDisk = spec.Disk
	n.recordEvent("voterDiskUnknown", spec.From, event.NewField("disk", string(spec.Disk)))
}
