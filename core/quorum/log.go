package quorum

// addEntry adds an entry to the log in memory.
func (n *Node) addEntry(ent Entry) {
	n.log.push(ent)
	if ent.kind == EntryMembers {
		n.configs = append(n.configs, placed{index: ent.index, members: ent.members})
	}
}

// write adds an entry to the log and to the next Persist.
func (n *Node) write(ent Entry) {
	n.addEntry(ent)
	if n.dirtyFrom == 0 {
		n.dirtyFrom = ent.index
	}
}

// cutLog removes the entries from idx on, which are not committed.
func (n *Node) cutLog(idx uint64) {
	n.log.cut(idx)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= idx {
		n.configs = n.configs[:len(n.configs)-1]
	}
	n.durable = min(n.durable, idx-1)
	n.verified = min(n.verified, idx-1)
	for pos := range n.flights {
		n.flights[pos].last = min(n.flights[pos].last, idx-1)
	}
	if n.dirtyFrom >= idx {
		n.dirtyFrom = 0
	}
}

// termAt returns the term of the entry at idx, if it is known.
func (n *Node) termAt(idx uint64) (uint64, bool) {
	if ent, ok := n.log.at(idx); ok {
		return ent.term, true
	}
	switch idx {
	case n.log.base:
		return n.logTerm, true
	case n.snap.index:
		return n.snap.term, true
	}
	return 0, idx == 0
}

func (n *Node) lastTerm() uint64 {
	term, _ := n.termAt(n.log.last())
	return term
}
