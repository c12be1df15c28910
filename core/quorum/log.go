package quorum

// addEntry appends an entry to the log in memory without scheduling a write.
func (n *Node) addEntry(ent Entry) {
	n.log.push(ent)
	if ent.kind == EntryMembers {
		n.configs = append(n.configs, indexedConfig{index: ent.index, members: ent.members})
	}
}

// appendEntry appends an entry to the log in memory and schedules it for the
// next Persist.
func (n *Node) appendEntry(ent Entry) {
	n.addEntry(ent)
	if n.dirtyFrom == 0 {
		n.dirtyFrom = ent.index
	}
}

// truncateLog removes the entries from idx on. They must be uncommitted, or the
// caller must replace them by a snapshot.
func (n *Node) truncateLog(idx uint64) {
	n.log.truncate(idx)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= idx {
		n.configs = n.configs[:len(n.configs)-1]
	}
	n.durable = min(n.durable, idx-1)
	n.matchIndex = min(n.matchIndex, idx-1)
	for pos := range n.pendingWrites {
		n.pendingWrites[pos].last = min(n.pendingWrites[pos].last, idx-1)
	}
	if n.dirtyFrom >= idx {
		n.dirtyFrom = 0
	}
}

// termAt returns the term of the entry at idx. It returns false if the entry is
// neither in memory nor the last one that the snapshot or the trimmed part of the
// log includes. Index 0 has term 0.
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
