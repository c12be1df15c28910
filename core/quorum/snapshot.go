package quorum

import (
	"guavarail/core/model"
)

// outgoing is a snapshot on its way to a member.
type outgoing struct {
	active bool
	snap   Snapshot
	offset uint64
	// sent is when the current piece was sent, moved when the last one was
	// acknowledged.
	sent  model.Instant
	moved model.Instant
}

// incoming is a snapshot on its way to this replica.
type incoming struct {
	from   model.VMID
	index  uint64
	term   uint64
	offset uint64
	// busy is set while a piece is being written.
	busy bool
}

// considerSnapshot takes a snapshot when the log has grown enough. A snapshot
// that is being sent is kept until it has arrived.
func (n *Node) considerSnapshot() {
	if n.muted != nil {
		n.dropLog(n.commit - min(n.commit, trailEntries))
		return
	}
	grown := n.commit-n.snap.index >= n.cfg.SnapshotEntries || n.logBytes >= n.cfg.SnapshotBytes
	if n.saving || !grown || n.commit == n.snap.index || n.sending() {
		return
	}
	term, _ := n.termAt(n.commit)
	cur := n.configAt(n.commit)
	n.saving = true
	n.emit(TakeSnapshot{snap: NewSnapshot(n.commit, term, cur.members, cur.index)})
}

// configAt returns the configuration that is in effect at idx.
func (n *Node) configAt(idx uint64) placed {
	cur := n.configs[0]
	for _, pl := range n.configs[1:] {
		if pl.index <= idx {
			cur = pl
		}
	}
	return cur
}

func (n *Node) sending() bool {
	for _, pr := range n.lead.peers {
		if pr.outgoing.active && n.since(pr.outgoing.moved) < transferStall {
			return true
		}
	}
	return false
}

func (n *Node) onSnapshotSaved(snap Snapshot) {
	n.saving = false
	if snap.index <= n.snap.index {
		return
	}
	n.snap = snap
	n.durable = max(n.durable, snap.index)
	n.logBytes = 0
	for _, ent := range n.log.from(snap.index + 1) {
		if ent.index <= n.commit {
			n.logBytes += ent.size()
		}
	}
	if snap.index > trailEntries {
		n.dropLog(snap.index - trailEntries)
	}
	n.compact()
}

// dropLog removes the entries up to idx from memory.
func (n *Node) dropLog(idx uint64) {
	if term, ok := n.termAt(idx); ok && idx > n.log.base && idx <= n.log.last() {
		n.log.drop(idx)
		n.logTerm = term
	}
	for len(n.configs) > 1 && n.configs[1].index <= n.snap.index {
		n.configs = n.configs[1:]
	}
}

// compact writes the log anew, without the entries that the snapshot contains.
func (n *Node) compact() {
	n.seq++
	n.flights = append(n.flights, flight{seq: n.seq, last: n.log.last()})
	n.dirtyHard, n.dirtyFrom = false, 0
	ents := n.log.from(n.snap.index + 1)
	n.emit(Compact{seq: n.seq, saved: NewSaved(Hard{term: n.term, vote: n.vote}, n.snap, ents)})
}

// startOutgoing begins to send the snapshot to a member whose next entry is no
// longer in the log.
func (n *Node) startOutgoing(pr *progress) {
	if pr.outgoing.active || n.snap.index == 0 {
		return
	}
	pr.outgoing = outgoing{active: true, snap: n.snap, moved: n.now}
	n.sendPiece(pr)
}

func (n *Node) sendPiece(pr *progress) {
	out := &pr.outgoing
	out.sent = n.now
	msg := n.complete(MessageSpec{
		Kind: Piece, To: pr.vm, Term: n.term, Snapshot: out.snap, Offset: out.offset, Sent: n.now,
	})
	n.emit(SendPiece{msg: msg, length: min(n.cfg.PieceBytes, out.snap.size-out.offset)})
}

// resendPiece repeats a piece that was not answered. A stalled transfer starts
// over with the newest snapshot.
func (n *Node) resendPiece(pr *progress, beat bool) {
	if !beat || !pr.outgoing.active || n.since(pr.outgoing.sent) < pieceTimeout {
		return
	}
	if pr.outgoing.snap.index < n.snap.index {
		pr.outgoing = outgoing{active: true, snap: n.snap, moved: pr.outgoing.moved}
	}
	n.sendPiece(pr)
}

// onPiece stores the next piece of a snapshot.
func (n *Node) onPiece(spec MessageSpec) {
	if !n.followLeader(spec) {
		return
	}
	snap := spec.Snapshot
	if snap.index <= n.commit {
		// Everything in the snapshot is already applied here.
		n.replyPiece(spec.From, snap, snap.size)
		return
	}
	in := &n.incoming
	if in.index != snap.index || in.term != snap.term || in.from != spec.From || spec.Offset == 0 && !in.busy {
		*in = incoming{from: spec.From, index: snap.index, term: snap.term}
	}
	if in.busy {
		return
	}
	if spec.Offset != in.offset {
		n.replyPiece(spec.From, snap, in.offset)
		return
	}
	in.busy = true
	n.emit(StorePiece{from: spec.From, snap: snap, offset: spec.Offset, data: spec.Data})
}

func (n *Node) replyPiece(to model.VMID, snap Snapshot, offset uint64) {
	n.send(MessageSpec{
		Kind: PieceReply, To: to, Term: n.term, Snapshot: snap, Offset: offset,
		Index: min(n.verified, n.durable), Sent: n.lastSent,
	})
}

func (n *Node) onPieceStored(in PieceStored) {
	cur := &n.incoming
	if cur.index != in.snap.index || cur.term != in.snap.term || cur.from != in.from || !cur.busy {
		return
	}
	cur.busy, cur.offset = false, in.offset
	if in.offset < in.snap.size {
		n.replyPiece(in.from, in.snap, in.offset)
		return
	}
	*cur = incoming{}
	if in.snap.index > n.commit {
		n.install(in.snap)
	}
	n.replyPiece(in.from, in.snap, in.offset)
}

// install continues from a received snapshot.
func (n *Node) install(snap Snapshot) {
	if term, ok := n.termAt(snap.index); ok && term == snap.term && snap.index <= n.log.last() {
		n.snap = snap
		n.dropLog(snap.index)
	} else {
		n.cutLog(n.log.base + 1)
		n.log.reset(snap.index)
		n.configs = []placed{{index: snap.membersIndex, members: snap.members}}
		n.flights = nil
		n.durable = snap.index
		n.snap, n.logTerm = snap, snap.term
	}
	n.configs[0] = placed{index: snap.membersIndex, members: snap.members}
	n.commit = snap.index
	n.durable = max(n.durable, snap.index)
	n.verified = max(n.verified, snap.index)
	n.logBytes = 0
	n.emit(Install{snap: snap})
	n.compact()
}

func (n *Node) onPieceReply(spec MessageSpec) {
	pr := n.lead.peers[spec.From]
	if !n.fromMember(pr, spec) {
		return
	}
	pr.heard(spec.Sent, n.now)
	out := &pr.outgoing
	if !out.active || out.snap.index != spec.Snapshot.index {
		return
	}
	if spec.Offset >= out.snap.size {
		pr.next = max(pr.match, out.snap.index) + 1
		pr.outgoing = outgoing{}
		n.appendTo(pr, true)
		n.considerSnapshot()
		return
	}
	if spec.Offset != out.offset {
		out.offset, out.moved = spec.Offset, n.now
		n.sendPiece(pr)
	}
}
