package quorum

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// oracle checks a simulated group against a single list of committed entries.
type oracle struct {
	// committed holds the committed entries from index 1 on. An entry is added
	// when the first VM applies it.
	committed []Entry
	// lastAcked is the index of the last entry that was applied on the VM that
	// accepted its command, so that the caller was sent a result.
	lastAcked uint64
	// leaders holds the VM and incarnation that led in each term.
	leaders map[uint64]string
	// leaseTerm is the last term in which a VM held the lease, and leaseTermBefore
	// the one before it; 0 for none.
	leaseTerm, leaseTermBefore uint64
	// leasedAt is when a VM was last seen to hold the lease in leaseTerm, and
	// leasedBefore the same for leaseTermBefore.
	leasedAt, leasedBefore time.Duration
	// errs describes the violations found.
	errs []string
}

// fail records a violation.
func (ora *oracle) fail(format string, args ...any) {
	ora.errs = append(ora.errs, fmt.Sprintf(format, args...))
}

// checkApplied checks that a VM applies the next entry, and the same one as the
// other VMs at this index. It then acknowledges the proposal of the entry.
func (ora *oracle) checkApplied(nod *simNode, ent Entry) {
	if ent.index != nod.applied+1 {
		ora.fail("%s applied entry %d after entry %d", nod.vm, ent.index, nod.applied)
	}
	nod.applied = ent.index
	if ent.kind == EntryCommand {
		nod.state = append(nod.state, ent.data...)
	}
	switch {
	case ent.index == uint64(len(ora.committed))+1:
		ora.committed = append(ora.committed, ent)
	case ent.index > uint64(len(ora.committed)):
		ora.fail("%s applied entry %d, but the committed log ends at %d", nod.vm, ent.index, len(ora.committed))
	default:
		if old := ora.committed[ent.index-1]; old.term != ent.term || !bytes.Equal(old.data, ent.data) {
			ora.fail("%s applied %q of term %d at %d, committed is %q of term %d",
				nod.vm, ent.data, ent.term, ent.index, old.data, old.term)
		}
	}
	for len(nod.pending) > 0 && nod.pending[0].index <= ent.index {
		if nod.pending[0].index == ent.index && nod.pending[0].term == ent.term {
			ora.lastAcked = max(ora.lastAcked, ent.index)
		}
		nod.pending = nod.pending[1:]
	}
}

// checkCopies checks that an entry that its leader applies was written by as many
// voters' disks as minCopies, or by all of them if there are fewer. A voter's disk
// that was lost since counts.
func (s *sim) checkCopies(nod *simNode, ent Entry) {
	if nod.node.state != leader || ent.term != nod.node.term {
		return
	}
	vots := nod.node.members().voters()
	copies := 0
	for _, mem := range vots {
		cur := s.nodes[mem.vm].disk
		holds := cur.snap.index >= ent.index || slices.ContainsFunc(cur.entries, func(have Entry) bool {
			return have.index == ent.index && have.term == ent.term
		})
		if holds || mem.disk != "" && mem.disk != cur.id {
			copies++
		}
	}
	if copies < min(s.minCopies, len(vots)) {
		s.oracle.fail("%s commits entry %d with %d copies, want %d of %v", nod.vm, ent.index, copies, s.minCopies, vots)
	}
}

// checkInstalled checks that an installed snapshot equals the state after the
// committed entries that it includes.
func (ora *oracle) checkInstalled(nod *simNode, snap Snapshot) {
	if snap.index > uint64(len(ora.committed)) {
		ora.fail("%s installed a snapshot at %d, but the committed log ends at %d", nod.vm, snap.index, len(ora.committed))
		return
	}
	if want := ora.state(snap.index); !bytes.Equal(want, nod.state) {
		ora.fail("%s installed a snapshot with a different state at entry %d", nod.vm, snap.index)
	}
	for len(nod.pending) > 0 && nod.pending[0].index <= snap.index {
		nod.pending = nod.pending[1:]
	}
}

// state returns the state after the committed entries up to idx.
func (ora *oracle) state(idx uint64) []byte {
	var buf []byte
	for _, ent := range ora.committed[:idx] {
		if ent.kind == EntryCommand {
			buf = append(buf, ent.data...)
		}
	}
	return buf
}

// checkRole checks that each term has at most one leader.
func (ora *oracle) checkRole(nod *simNode, role Role) {
	if !role.Leading() {
		return
	}
	name := fmt.Sprintf("%s in incarnation %d", nod.vm, nod.incarnation)
	if old := ora.leaders[role.Term()]; old != "" && old != name {
		ora.fail("term %d is led by %s and by %s", role.Term(), old, name)
	}
	ora.leaders[role.Term()] = name
}

// checkLease checks that at most one VM holds the lease, that its state has every
// acknowledged command, and that it knows the term of the last lease before and that
// it has ended.
func (ora *oracle) checkLease(s *sim) {
	holder := ""
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		if !nod.up {
			continue
		}
		role := nod.node.Role(s.localTime(nod))
		if !role.Leased() {
			continue
		}
		if holder != "" {
			ora.fail("%s and %s hold the lease in term %d", holder, vm, role.Term())
		}
		holder = string(vm)
		if role.Term() > ora.leaseTerm {
			ora.leaseTerm, ora.leaseTermBefore, ora.leasedBefore = role.Term(), ora.leaseTerm, ora.leasedAt
		}
		ora.leasedAt = s.now
		if end := nod.timeAt(ora.leasedBefore); ora.leaseTermBefore > 0 && role.FormerLeaseEnd().Before(end) {
			ora.fail("%s counts the lease of term %d as ended %v before it has", vm, ora.leaseTermBefore, end.Sub(role.FormerLeaseEnd()))
		}
		if role.Term() == ora.leaseTerm && (role.PreviousTerm() < ora.leaseTermBefore || role.PreviousTerm() >= role.Term()) {
			ora.fail("%s leads term %d after term %d, but the lease was held in term %d before", vm, role.Term(), role.PreviousTerm(), ora.leaseTermBefore)
		}
		if role.Applied() < ora.lastAcked {
			ora.fail("%s holds the lease with entry %d applied, but entry %d is acknowledged", vm, role.Applied(), ora.lastAcked)
		}
	}
}

// canLoseDisk reports whether a majority of the voters of every configuration that
// any VM holds would still have their disks if vm lost its disk. If vm is empty, no
// further disk is lost.
func (s *sim) canLoseDisk(vm string) bool {
	nonEmpty := 0
	for _, other := range s.voters {
		if dsk := s.nodes[other].disk; string(other) != vm && len(dsk.entries)+int(dsk.snap.index) > 0 {
			nonEmpty++
		}
	}
	if nonEmpty == 0 && vm != "" {
		// With empty disks, the initial voters would bootstrap a new group.
		return false
	}
	for _, other := range s.vms {
		nod := s.nodes[other]
		for _, mems := range s.configsOf(nod) {
			vots := mems.voters()
			lost := 0
			for _, mem := range vots {
				cur := s.nodes[mem.vm].disk.id
				if string(mem.vm) == vm && (mem.disk == "" || mem.disk == cur) || mem.disk != "" && mem.disk != cur {
					lost++
				}
			}
			if lost > len(vots)-majority(len(vots)) {
				return false
			}
		}
	}
	return true
}

// configsOf returns the configurations that a VM holds in memory or on disk.
func (s *sim) configsOf(nod *simNode) []Members {
	var lst []Members
	if nod.up && nod.node.started {
		for _, ic := range nod.node.configs {
			lst = append(lst, ic.members)
		}
	}
	if len(nod.disk.entries) == 0 && nod.disk.snap.index == 0 {
		lst = append(lst, initialMembers(s.voters, nil))
	}
	if nod.disk.snap.index > 0 {
		lst = append(lst, nod.disk.snap.members)
	}
	for _, ent := range nod.disk.entries {
		if ent.kind == EntryMembers {
			lst = append(lst, ent.members)
		}
	}
	return lst
}

// dump returns the state of every VM for a test failure message.
func (s *sim) dump() string {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "committed %d acknowledged %d\n", len(s.oracle.committed), s.oracle.lastAcked)
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		n := nod.node
		fmt.Fprintf(&buf, "%s up=%v disk=%s term=%d state=%d leader=%s log=%d..%d/%d durable=%d commit=%d err=%v configs=%+v\n",
			vm, nod.up, nod.disk.id, n.term, n.state, n.leader, n.log.base, n.log.last(), n.lastTerm(), n.durable, n.commit, n.Err(), n.configs)
		for _, pr := range n.leaderState.peers {
			fmt.Fprintf(&buf, "  %+v\n", *pr)
		}
	}
	return buf.String()
}
