package quorum

import (
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// outgoingSnapshot is the state of a snapshot transfer to a member.
type outgoingSnapshot struct {
	active bool
	snap   Snapshot
	// offset is the start of the current chunk in the encoded snapshot, in bytes.
	offset uint64
	// sentAt is when the current chunk was last sent, and progressedAt when the
	// previous one was acknowledged or, for the first one, the transfer started.
	sentAt       model.Instant
	progressedAt model.Instant
}

// incomingSnapshot is the state of a snapshot transfer from the leader. It is zero
// if there is none.
type incomingSnapshot struct {
	// from is the leader that sends the snapshot.
	from model.VMID
	// index and term are those of the snapshot.
	index uint64
	term  uint64
	// offset is the start of the next chunk in the encoded snapshot, in bytes.
	offset uint64
	// writing is set until the store has confirmed the current chunk.
	writing bool
}

// maybeTakeSnapshot takes a snapshot once enough entries are applied since the
// last one. It waits while a snapshot is being sent, because a newer one replaces
// it in the store. A passive replica writes nothing and only removes entries from
// memory.
func (n *Node) maybeTakeSnapshot() {
	if n.passiveErr != nil {
		n.trimLog(n.trailingFrom(n.commit))
		return
	}
	grown := n.commit-n.snap.index >= n.cfg.SnapshotEntries || n.logBytes >= n.cfg.SnapshotBytes
	if n.savingSnapshot || !grown || n.commit == n.snap.index || n.sendingSnapshot() {
		return
	}
	term, _ := n.termAt(n.commit)
	cur := n.configAt(n.commit)
	n.savingSnapshot = true
	n.emit(TakeSnapshot{snap: NewSnapshot(n.commit, term, cur.members, cur.index)})
}

// configAt returns the configuration that is in effect at idx.
func (n *Node) configAt(idx uint64) indexedConfig {
	cur := n.configs[0]
	for _, ic := range n.configs[1:] {
		if ic.index <= idx {
			cur = ic
		}
	}
	return cur
}

// sendingSnapshot reports whether a snapshot transfer has made progress within
// snapshotStallTimeout.
func (n *Node) sendingSnapshot() bool {
	for _, pr := range n.leaderState.peers {
		if pr.outgoingSnapshot.active && n.since(pr.outgoingSnapshot.progressedAt) < snapshotStallTimeout {
			return true
		}
	}
	return false
}

func (n *Node) onSnapshotSaved(snap Snapshot) {
	n.savingSnapshot = false
	n.recordEvent("snapshotSaved", n.cfg.Self, event.NewField("index", strconv.FormatUint(snap.index, 10)), event.NewField("bytes", strconv.FormatUint(snap.size, 10)))
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
	n.trimLog(n.trailingFrom(snap.index))
	n.compact()
}

// trailingFrom returns the index of the last entry that need not stay in memory before idx.
func (n *Node) trailingFrom(idx uint64) uint64 {
	bytes, from := 0, idx
	for from > n.log.base && idx-from < trailingEntries {
		ent, ok := n.log.at(from)
		if bytes += ent.size(); !ok || bytes > trailingBytes {
			break
		}
		from--
	}
	return from
}

// trimLog removes the entries up to idx from memory, and the configurations
// before that of the snapshot.
func (n *Node) trimLog(idx uint64) {
	if term, ok := n.termAt(idx); ok && idx > n.log.base && idx <= n.log.last() {
		n.log.trimFront(idx)
		n.logTerm = term
	}
	for len(n.configs) > 1 && n.configs[1].index <= n.snap.index {
		n.configs = n.configs[1:]
	}
}

// compact emits a Compact, which rewrites the log without the entries that the
// snapshot includes. It also writes everything that the next Persist would.
func (n *Node) compact() {
	n.seq++
	n.pendingWrites = append(n.pendingWrites, pendingWrite{seq: n.seq, last: n.log.last()})
	n.dirtyHardState, n.dirtyFrom = false, 0
	ents := n.log.from(n.snap.index + 1)
	n.emit(Compact{seq: n.seq, stored: NewStoredState(HardState{term: n.term, vote: n.vote}, n.snap, ents)})
}

// startSnapshotTransfer starts to send the snapshot to a member whose next entry
// is no longer in the log.
func (n *Node) startSnapshotTransfer(pr *progress) {
	if pr.outgoingSnapshot.active || n.snap.index == 0 {
		return
	}
	pr.outgoingSnapshot = outgoingSnapshot{active: true, snap: n.snap, progressedAt: n.now}
	n.sendChunk(pr)
}

func (n *Node) sendChunk(pr *progress) {
	out := &pr.outgoingSnapshot
	out.sentAt = n.now
	msg := n.newMessage(MessageSpec{
		Kind: SnapshotChunk, To: pr.vm, Term: n.term, Snapshot: out.snap, Offset: out.offset, Sent: n.now,
	})
	n.emit(SendChunk{msg: msg, length: min(n.cfg.ChunkBytes, out.snap.size-out.offset)})
}

// resendChunk sends an unacknowledged chunk again after chunkTimeout. If there is
// a newer snapshot, the transfer restarts with that.
func (n *Node) resendChunk(pr *progress, heartbeat bool) {
	if !heartbeat || !pr.outgoingSnapshot.active || n.since(pr.outgoingSnapshot.sentAt) < chunkTimeout {
		return
	}
	if pr.outgoingSnapshot.snap.index < n.snap.index {
		pr.outgoingSnapshot = outgoingSnapshot{active: true, snap: n.snap, progressedAt: pr.outgoingSnapshot.progressedAt}
	}
	n.sendChunk(pr)
}

// onChunk stores the next chunk of a snapshot. To other chunks it replies with
// the offset of the next one, or not at all while a chunk is being written.
func (n *Node) onChunk(spec MessageSpec) {
	if !n.followLeader(spec) {
		return
	}
	snap := spec.Snapshot
	if snap.index <= n.commit {
		// All entries of the snapshot are already applied.
		n.replyChunk(spec.From, snap, snap.size)
		return
	}
	in := &n.incomingSnapshot
	if in.index != snap.index || in.term != snap.term || in.from != spec.From || spec.Offset == 0 && !in.writing {
		*in = incomingSnapshot{from: spec.From, index: snap.index, term: snap.term}
	}
	if in.writing {
		return
	}
	if spec.Offset != in.offset {
		n.replyChunk(spec.From, snap, in.offset)
		return
	}
	in.writing = true
	n.emit(StoreChunk{from: spec.From, snap: snap, offset: spec.Offset, data: spec.Data})
}

func (n *Node) replyChunk(to model.VMID, snap Snapshot, offset uint64) {
	n.send(MessageSpec{
		Kind: SnapshotChunkReply, To: to, Term: n.term, Snapshot: snap, Offset: offset,
		Index: min(n.matchIndex, n.durable), Sent: n.leaderSentAt,
	})
}

func (n *Node) onChunkStored(in ChunkStored) {
	cur := &n.incomingSnapshot
	if cur.index != in.snap.index || cur.term != in.snap.term || cur.from != in.from || !cur.writing {
		return
	}
	cur.writing, cur.offset = false, in.offset
	if in.offset < in.snap.size {
		n.replyChunk(in.from, in.snap, in.offset)
		return
	}
	*cur = incomingSnapshot{}
	if in.snap.index > n.commit {
		n.install(in.snap)
	}
	n.replyChunk(in.from, in.snap, in.offset)
}

// install restores the replica from a received snapshot. It retains the log after
// the snapshot if the log contains the snapshot's last entry, and otherwise
// discards the whole log.
func (n *Node) install(snap Snapshot) {
	if term, ok := n.termAt(snap.index); ok && term == snap.term && snap.index <= n.log.last() {
		n.snap = snap
		n.trimLog(snap.index)
	} else {
		n.truncateLog(n.log.base + 1)
		n.log.reset(snap.index)
		n.configs = []indexedConfig{{index: snap.membersIndex, members: snap.members}}
		n.pendingWrites = nil
		n.durable = snap.index
		n.snap, n.logTerm = snap, snap.term
	}
	n.configs[0] = indexedConfig{index: snap.membersIndex, members: snap.members}
	n.commit = snap.index
	n.durable = max(n.durable, snap.index)
	n.matchIndex = max(n.matchIndex, snap.index)
	n.logBytes = 0
	n.emit(InstallSnapshot{snap: snap})
	n.compact()
}

func (n *Node) onChunkReply(spec MessageSpec) {
	pr := n.leaderState.peers[spec.From]
	if !n.acceptReply(pr, spec) {
		return
	}
	pr.recordReply(spec.Sent, n.now)
	out := &pr.outgoingSnapshot
	if !out.active || out.snap.index != spec.Snapshot.index {
		return
	}
	if spec.Offset >= out.snap.size {
		pr.next = max(pr.match, out.snap.index) + 1
		pr.outgoingSnapshot = outgoingSnapshot{}
		n.appendTo(pr, true)
		n.maybeTakeSnapshot()
		return
	}
	if spec.Offset != out.offset {
		out.offset, out.progressedAt = spec.Offset, n.now
		n.sendChunk(pr)
	}
}
