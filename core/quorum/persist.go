package quorum

// flight is a write that was handed to the store.
type flight struct {
	seq uint64
	// last is the last entry that is on disk after the write.
	last uint64
}

// heldMessage waits for a write.
type heldMessage struct {
	// seq is 0 until the end of the step that made the message.
	seq uint64
	msg Message
}

// send completes a message and sends it at once.
func (n *Node) send(spec MessageSpec) { n.emit(Send{msg: n.complete(spec)}) }

// sendSynced sends a message after everything up to the end of this step is on
// disk.
func (n *Node) sendSynced(spec MessageSpec) {
	n.held = append(n.held, heldMessage{msg: n.complete(spec)})
}

func (n *Node) complete(spec MessageSpec) Message {
	spec.From, spec.Disk = n.cfg.Self, n.cfg.Disk
	if mem, ok := n.members().Find(spec.To); ok && mem.disk != "" {
		spec.ToDisk, spec.Acked = mem.disk, n.known[mem.disk]
	}
	return Message{spec: spec}
}

// flush hands changes to the store and releases messages that need no write.
func (n *Node) flush() {
	if n.Err() != nil {
		n.dirtyHard, n.dirtyFrom, n.held = false, 0, nil
		return
	}
	if n.dirtyHard || n.dirtyFrom > 0 {
		n.seq++
		var ents []Entry
		if n.dirtyFrom > 0 {
			ents = n.log.from(n.dirtyFrom)
		}
		n.flights = append(n.flights, flight{seq: n.seq, last: n.log.last()})
		n.emit(Persist{seq: n.seq, hard: Hard{term: n.term, vote: n.vote}, entries: ents})
		n.dirtyHard, n.dirtyFrom = false, 0
	}
	for pos := range n.held {
		if n.held[pos].seq == 0 {
			n.held[pos].seq = n.seq
		}
	}
	n.release()
}

// release sends the messages whose writes are on disk.
func (n *Node) release() {
	for len(n.held) > 0 && n.held[0].seq <= n.synced {
		n.emit(Send{msg: n.held[0].msg})
		n.held = n.held[1:]
	}
}

func (n *Node) onPersisted(seq uint64) {
	if seq <= n.synced || seq > n.seq {
		return
	}
	n.synced = seq
	for len(n.flights) > 0 && n.flights[0].seq <= seq {
		n.durable = max(n.durable, n.flights[0].last)
		n.flights = n.flights[1:]
	}
	n.release()
	switch n.standing {
	case leader:
		n.advance()
	case candidate:
		n.countVotes()
	default:
		n.acknowledge()
	}
}
