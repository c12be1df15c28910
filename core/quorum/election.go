package quorum

import (
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// campaign is the state of an election that this replica started.
type campaign struct {
	// granted holds the disks of the voters that agreed.
	granted map[model.VMID]DiskID
	// seq is the write of the replica's own vote.
	seq      uint64
	transfer bool
}

func (n *Node) onTick() {
	if n.standing == leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.deadline) || !n.mayCampaign() || n.muted != nil {
		return
	}
	n.standing, n.leader = preCandidate, ""
	n.campaign = campaign{granted: map[model.VMID]DiskID{n.cfg.Self: n.cfg.Disk}}
	n.resetDeadline()
	n.requestVotes(PreVote, n.term+1)
	n.countVotes()
}

// mayCampaign reports whether the replica is a voter, or was one before changes
// that may not be committed. Only it may have the log to commit them.
func (n *Node) mayCampaign() bool {
	if n.disowned && !n.members().bound() {
		return false
	}
	return n.isVoter() || n.configAt(n.commit).members.isVoter(n.cfg.Self, n.cfg.Disk)
}

// startElection opens a new term and votes for itself.
func (n *Node) startElection(transfer bool) {
	n.newTerm(n.term + 1)
	n.standing, n.vote = candidate, n.cfg.Self
	n.campaign = campaign{granted: map[model.VMID]DiskID{}, seq: n.seq + 1, transfer: transfer}
	n.resetDeadline()
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
			n.sendSynced(spec)
		} else {
			n.send(spec)
		}
	}
}

// newTerm moves to a higher term as a follower without a leader.
func (n *Node) newTerm(term uint64) {
	n.stepDown()
	n.term, n.vote, n.leader = term, "", ""
	n.verified, n.lastSent = 0, 0
	n.dirtyHard = true
}

// stepDown ends leadership or a campaign.
func (n *Node) stepDown() {
	if n.standing == leader {
		n.report("leadershipLost", n.cfg.Self, event.NewField("term", strconv.FormatUint(n.term, 10)))
		n.refuseWaiting()
		n.lead = lead{}
		n.leader = ""
		n.resetDeadline()
	}
	n.standing = follower
}

// countVotes moves on when a quorum has agreed.
func (n *Node) countVotes() {
	if n.standing == candidate && n.synced >= n.campaign.seq {
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
	switch n.standing {
	case preCandidate:
		n.startElection(false)
	case candidate:
		n.becomeLeader()
	}
}

// onVoteRequest answers PreVote and Vote.
func (n *Node) onVoteRequest(spec MessageSpec) {
	reply := MessageSpec{Kind: VoteReply, To: spec.From, Term: n.term, Reject: true}
	if spec.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	if spec.Term < n.term || spec.Term == n.term && spec.Kind == PreVote || n.supportsLeader(spec) ||
		!n.trusted(spec) {
		n.send(reply)
		return
	}
	newer := spec.LogTerm > n.lastTerm() || spec.LogTerm == n.lastTerm() && spec.Index >= n.log.last()
	if spec.Kind == PreVote {
		if newer {
			reply.Term, reply.Reject = spec.Term, false
		}
		n.send(reply)
		return
	}
	if spec.Term > n.term {
		n.newTerm(spec.Term)
	}
	reply.Term = n.term
	if newer && n.standing != leader && (n.vote == "" || n.vote == spec.From) {
		n.dirtyHard = n.dirtyHard || n.vote == ""
		n.vote, n.standing = spec.From, follower
		n.resetDeadline()
		reply.Reject = false
	}
	n.sendSynced(reply)
}

// supportsLeader reports whether a vote could end the lease of a leader early.
// A leader that asked for a transfer has given up the lease of its term, so
// the candidate of exactly the next term is not held back.
func (n *Node) supportsLeader(spec MessageSpec) bool {
	if spec.Transfer && spec.Term == n.term+1 {
		return false
	}
	if n.standing == leader && !n.lead.yielded && n.since(n.confirmed(n.now)) < ElectionShortest {
		return true
	}
	return n.heardAny && n.since(n.heard) < ElectionShortest
}

// trusted refuses candidates with a disk that is not the member's or that
// lacks entries it has acknowledged.
func (n *Node) trusted(spec MessageSpec) bool {
	if mem, ok := n.members().Find(spec.From); ok && mem.voter && mem.disk != "" && mem.disk != spec.Disk {
		n.noticeForeign(spec)
		return false
	}
	return spec.Index >= n.known[spec.Disk]
}

func (n *Node) onVoteReply(spec MessageSpec) {
	if spec.Reject {
		if spec.Term > n.term {
			n.newTerm(spec.Term)
		}
		return
	}
	pre := n.standing == preCandidate && spec.Kind == PreVoteReply && spec.Term == n.term+1
	won := n.standing == candidate && spec.Kind == VoteReply && spec.Term == n.term
	if pre || won {
		n.campaign.granted[spec.From] = spec.Disk
		n.countVotes()
	}
}

// noticeForeign reports a disk that is not the one of its member, once for
// each disk.
func (n *Node) noticeForeign(spec MessageSpec) {
	if n.foreign == spec.Disk {
		return
	}
	n.foreign = spec.Disk
	n.report("voterDiskUnknown", spec.From, event.NewField("disk", string(spec.Disk)))
}
