package quorum

// pendingWrite is a write that the store has not confirmed yet.
type pendingWrite struct {
	seq uint64
	// last is the index of the last entry that is on disk after the write.
	last uint64
}

// deferredMessage is a message that is sent once a write is on disk.
type deferredMessage struct {
	// seq is the number of the write, or 0 until the end of the step that
	// created the message.
	seq uint64
	msg Message
}

// send emits a message without waiting for writes.
func (n *Node) send(spec MessageSpec) { n.emit(Send{msg: n.newMessage(spec)}) }

// sendAfterSync sends a message once all writes up to the end of this step are on
// disk.
func (n *Node) sendAfterSync(spec MessageSpec) {
	n.deferred = append(n.deferred, deferredMessage{msg: n.newMessage(spec)})
}

// newMessage returns the message that spec describes, with the sender and its
// disk, and with the disk and acknowledgement that are expected of the receiver.
func (n *Node) newMessage(spec MessageSpec) Message {
	spec.From, spec.Disk = n.cfg.Self, n.cfg.Disk
	if mem, ok := n.members().Find(spec.To); ok && mem.disk != "" {
		spec.ToDisk, spec.Acked = mem.disk, n.diskAcks[mem.disk]
	}
	return Message{spec: spec}
}

// flush emits a Persist for the changes of this step. It then sends the deferred
// messages whose writes are already on disk.
func (n *Node) flush() {
	if n.Err() != nil {
		n.dirtyHardState, n.dirtyFrom, n.deferred = false, 0, nil
		return
	}
	if n.dirtyHardState || n.dirtyFrom > 0 {
		n.seq++
		var ents []Entry
		if n.dirtyFrom > 0 {
			ents = n.log.from(n.dirtyFrom)
		}
		n.pendingWrites = append(n.pendingWrites, pendingWrite{seq: n.seq, last: n.log.last()})
		n.emit(Persist{seq: n.seq, hardState: HardState{term: n.term, vote: n.vote}, entries: ents})
		n.dirtyHardState, n.dirtyFrom = false, 0
	}
	for pos := range n.deferred {
		if n.deferred[pos].seq == 0 {
			n.deferred[pos].seq = n.seq
		}
	}
	n.sendDeferred()
}

// sendDeferred sends the deferred messages whose writes are on disk.
func (n *Node) sendDeferred() {
	for len(n.deferred) > 0 && n.deferred[0].seq <= n.synced {
		n.emit(Send{msg: n.deferred[0].msg})
		n.deferred = n.deferred[1:]
	}
}

func (n *Node) onPersisted(seq uint64) {
	if seq <= n.synced || seq > n.seq {
		return
	}
	n.synced = seq
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].seq <= seq {
		n.durable = max(n.durable, n.pendingWrites[0].last)
		n.pendingWrites = n.pendingWrites[1:]
	}
	n.sendDeferred()
	switch n.state {
	case leader:
		n.advanceCommit()
	case candidate:
		n.countVotes()
	default:
		n.acknowledgeWrite()
	}
}
