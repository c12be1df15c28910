package quorum

import (
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// lead is the state of a leader. The zero value is that of a follower.
type lead struct {
	peers map[model.VMID]*progress
	// first is the entry that the leader added at the start of its term.
	first uint64
	since model.Instant
	beat  model.Instant
	beats uint64
	// acks counts the changes of what voters are known to have acknowledged.
	acks     uint64
	handover handover
	// yielded is set once another voter may start an election during the
	// lease; the lease of this term is given up for good.
	yielded bool
	// pending is a change that is not in the log yet, since asked.
	pending *Alter
	asked   model.Instant
}

func (n *Node) becomeLeader() {
	n.standing, n.leader = leader, n.cfg.Self
	n.lead = lead{peers: map[model.VMID]*progress{}, first: n.log.last() + 1, since: n.now}
	n.report("leaderElected", n.cfg.Self, event.NewField("term", strconv.FormatUint(n.term, 10)))
	if mems := n.members(); !mems.bound() {
		n.write(NewMembersEntry(n.log.last()+1, n.term, n.foundingMembers(mems)))
	} else {
		n.write(NewEntry(n.log.last()+1, n.term, EntryEmpty, nil))
	}
	n.followMembers()
	n.beatAll()
}

// foundingMembers names the disks of the voters that elected this replica.
func (n *Node) foundingMembers(mems Members) Members {
	lst := mems.List()
	for pos, mem := range lst {
		if mem.voter {
			lst[pos].disk = n.campaign.granted[mem.vm]
		}
	}
	return NewMembers(true, lst...)
}

// followMembers makes the progress table match the members.
func (n *Node) followMembers() {
	mems := n.members()
	for _, mem := range mems.list {
		if n.lead.peers[mem.vm] == nil && mem.vm != n.cfg.Self {
			n.lead.peers[mem.vm] = &progress{vm: mem.vm, next: n.lead.first}
		}
	}
	for vm := range n.lead.peers {
		if _, ok := mems.Find(vm); !ok {
			delete(n.lead.peers, vm)
		}
	}
}

func (n *Node) tickLeader() {
	if n.since(n.lead.since) > ElectionLongest && n.since(n.confirmed(n.now)) > ElectionLongest {
		n.report("quorumUnreachable", n.cfg.Self)
		n.stepDown()
		return
	}
	n.tickTransfer()
	n.tickChange()
	if n.standing == leader && n.since(n.lead.beat) >= Heartbeat {
		n.beatAll()
	}
}

// beatAll starts a heartbeat round.
func (n *Node) beatAll() {
	n.lead.beat = n.now
	n.lead.beats++
	for _, mem := range n.members().list {
		pr := n.lead.peers[mem.vm]
		if pr == nil || !mem.voter && n.lead.beats%learnerBeats != 1 {
			continue
		}
		pr.inFlight = 0
		n.appendTo(pr, true)
	}
}

// replicate sends new entries to every member that is ready for them.
func (n *Node) replicate() {
	for _, mem := range n.members().list {
		if pr := n.lead.peers[mem.vm]; pr != nil {
			n.appendTo(pr, false)
		}
	}
}

// advance commits what a quorum of voters has on disk.
func (n *Node) advance() {
	n.commitAgreed()
	// The slower voters acknowledge after the commit.
	for _, mem := range n.members().voters() {
		idx := min(n.matchOf(mem), n.commit)
		if n.standing == leader && mem.disk != "" && idx > n.known[mem.disk] {
			n.known[mem.disk] = idx
			n.lead.acks++
		}
	}
}

// commitAgreed commits the newest entry of this term that a quorum has on disk.
func (n *Node) commitAgreed() {
	var vals []uint64
	for _, mem := range n.members().voters() {
		vals = append(vals, n.matchOf(mem))
	}
	idx := agreed(vals, n.quorum())
	if term, ok := n.termAt(idx); idx <= n.commit || !ok || term != n.term {
		return
	}
	n.commitTo(idx)
	n.seal()
	if !n.isVoter() {
		// The leader removed itself; the others know it by the committed entry.
		n.beatAll()
		n.stepDown()
	}
}

// seal replaces the founding configuration once every voter has it on disk.
// From then on a majority is enough.
func (n *Node) seal() {
	if mems := n.members(); mems.founding && n.commit >= n.configs[len(n.configs)-1].index {
		n.write(NewMembersEntry(n.log.last()+1, n.term, NewMembers(false, mems.list...)))
		n.replicate()
	}
}

func (n *Node) matchOf(mem Member) uint64 {
	if mem.vm == n.cfg.Self {
		return n.durable
	}
	if pr := n.lead.peers[mem.vm]; pr != nil {
		return pr.match
	}
	return 0
}

// acks lists what the disks of the voters have acknowledged.
func (n *Node) acks() []Ack {
	var lst []Ack
	for _, mem := range n.members().voters() {
		if idx := n.known[mem.disk]; idx > 0 && mem.disk != "" {
			lst = append(lst, Ack{disk: mem.disk, index: idx})
		}
	}
	return lst
}

// confirmed returns the send time of the newest round that a quorum answered.
func (n *Node) confirmed(now model.Instant) model.Instant {
	var vals []model.Instant
	for _, mem := range n.members().voters() {
		pr := n.lead.peers[mem.vm]
		switch {
		case mem.vm == n.cfg.Self:
			vals = append(vals, now)
		case pr != nil && pr.replied:
			vals = append(vals, pr.acked)
		default:
			vals = append(vals, neverAcked)
		}
	}
	return agreed(vals, n.quorum())
}

// leased reports whether the lease holds at the given time.
func (n *Node) leased(now model.Instant) bool {
	return n.standing == leader && !n.lead.yielded && n.commit >= n.lead.first && n.isVoter() &&
		now.Sub(n.confirmed(now)) < Lease
}

func (n *Node) onPropose(lst []Proposal) {
	if n.standing != leader || n.lead.handover.target != "" {
		for _, pro := range lst {
			n.emit(Refused{id: pro.id, err: n.notLeader()})
		}
		return
	}
	for _, pro := range lst {
		ent := NewEntry(n.log.last()+1, n.term, EntryCommand, pro.data)
		n.write(ent)
		n.emit(Accepted{id: pro.id, index: ent.index, term: ent.term})
	}
	n.replicate()
}

// notLeader names the VM to ask; during a transfer that is its target.
func (n *Node) notLeader() error {
	if tgt := n.lead.handover.target; tgt != "" {
		return NewNotLeaderError(tgt)
	}
	if n.leader == n.cfg.Self {
		return NewNotLeaderError("")
	}
	return NewNotLeaderError(n.leader)
}
