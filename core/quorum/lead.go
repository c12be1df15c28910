package quorum

import (
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

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
	// ackedCommit is the commit index of the last list of acks it was sent.
	ackedCommit uint64
	outgoing    outgoing
}

// lead is the state of a leader. The zero value is that of a follower.
type lead struct {
	peers map[model.VMID]*progress
	// first is the entry that the leader added at the start of its term.
	first    uint64
	since    model.Instant
	beat     model.Instant
	beats    uint64
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
	n.tickPromote()
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
	if beat && pr.ackedCommit < n.commit {
		spec.Acks, pr.ackedCommit = n.acks(), n.commit
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
		n.tryPromote()
		n.tickTransfer()
	}
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

// advance commits what a quorum of voters has on disk.
func (n *Node) advance() {
	var vals []uint64
	for _, mem := range n.members().voters() {
		vals = append(vals, n.matchOf(mem))
	}
	idx := agreed(vals, n.quorum())
	if term, ok := n.termAt(idx); idx <= n.commit || !ok || term != n.term {
		return
	}
	n.commitTo(idx)
	for _, mem := range n.members().voters() {
		n.known[mem.disk] = max(n.known[mem.disk], min(n.matchOf(mem), n.commit))
	}
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
