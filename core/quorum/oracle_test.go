package quorum

import (
	"bytes"
	"fmt"
)

// oracle compares a simulated group with one plain list of commands.
type oracle struct {
	// truth holds the committed entries from index 1 on.
	truth []Entry
	// acked is the last entry whose command was answered to a caller.
	acked uint64
	// leaders names the VM and life that led in each term.
	leaders map[uint64]string
	errs    []string
}

func (ora *oracle) fail(format string, args ...any) {
	ora.errs = append(ora.errs, fmt.Sprintf(format, args...))
}

// applied guards that all VMs apply the same entries in the same order.
func (ora *oracle) applied(nod *simNode, ent Entry) {
	if ent.index != nod.last+1 {
		ora.fail("%s applied %d after %d", nod.vm, ent.index, nod.last)
	}
	nod.last = ent.index
	if ent.kind == EntryCommand {
		nod.state = append(nod.state, ent.data...)
	}
	switch {
	case ent.index == uint64(len(ora.truth))+1:
		ora.truth = append(ora.truth, ent)
	case ent.index > uint64(len(ora.truth)):
		ora.fail("%s applied %d, committed are %d", nod.vm, ent.index, len(ora.truth))
	default:
		if old := ora.truth[ent.index-1]; old.term != ent.term || !bytes.Equal(old.data, ent.data) {
			ora.fail("%s applied %q of term %d at %d, committed is %q of term %d",
				nod.vm, ent.data, ent.term, ent.index, old.data, old.term)
		}
	}
	for len(nod.pending) > 0 && nod.pending[0].index <= ent.index {
		if nod.pending[0].index == ent.index && nod.pending[0].term == ent.term {
			ora.acked = max(ora.acked, ent.index)
		}
		nod.pending = nod.pending[1:]
	}
}

// installed guards that a snapshot is the state after the same entries.
func (ora *oracle) installed(nod *simNode, snap Snapshot) {
	if snap.index > uint64(len(ora.truth)) {
		ora.fail("%s installed %d, committed are %d", nod.vm, snap.index, len(ora.truth))
		return
	}
	if want := ora.state(snap.index); !bytes.Equal(want, nod.state) {
		ora.fail("%s installed another state at %d", nod.vm, snap.index)
	}
	for len(nod.pending) > 0 && nod.pending[0].index <= snap.index {
		nod.pending = nod.pending[1:]
	}
}

func (ora *oracle) state(idx uint64) []byte {
	var buf []byte
	for _, ent := range ora.truth[:idx] {
		if ent.kind == EntryCommand {
			buf = append(buf, ent.data...)
		}
	}
	return buf
}

// role guards that a term has one leader.
func (ora *oracle) role(nod *simNode, role Role) {
	if !role.Leading() {
		return
	}
	name := fmt.Sprintf("%s in life %d", nod.vm, nod.life)
	if old := ora.leaders[role.Term()]; old != "" && old != name {
		ora.fail("term %d is led by %s and by %s", role.Term(), old, name)
	}
	ora.leaders[role.Term()] = name
}

// check guards that one VM at most holds the lease, and that its state has
// every answered command.
func (ora *oracle) check(s *sim) {
	holder := ""
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		if !nod.up {
			continue
		}
		role := nod.node.Role(s.local(nod))
		if !role.Leased() {
			continue
		}
		if holder != "" {
			ora.fail("%s and %s hold the lease in term %d", holder, vm, role.Term())
		}
		holder = string(vm)
		if role.Applied() < ora.acked {
			ora.fail("%s holds the lease at %d, answered are %d", vm, role.Applied(), ora.acked)
		}
	}
}

// mayLose reports whether every configuration that a VM holds keeps a majority
// of its disks when vm loses its own.
func (s *sim) mayLose(vm string) bool {
	kept := 0
	for _, other := range s.voters {
		if dsk := s.nodes[other].disk; string(other) != vm && len(dsk.entries)+int(dsk.snap.index) > 0 {
			kept++
		}
	}
	if kept == 0 && vm != "" {
		// Empty disks of all first voters would found the group again.
		return false
	}
	for _, other := range s.vms {
		nod := s.nodes[other]
		for _, pl := range s.configsOf(nod) {
			vots := pl.voters()
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

// configsOf returns the configurations that a VM has in memory or on disk.
func (s *sim) configsOf(nod *simNode) []Members {
	var lst []Members
	if nod.up && nod.node.started {
		for _, pl := range nod.node.configs {
			lst = append(lst, pl.members)
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

// dump describes every VM for a failure report.
func (s *sim) dump() string {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "committed %d answered %d\n", len(s.oracle.truth), s.oracle.acked)
	for _, vm := range s.vms {
		nod := s.nodes[vm]
		n := nod.node
		fmt.Fprintf(&buf, "%s up=%v disk=%s term=%d standing=%d leader=%s log=%d..%d/%d durable=%d commit=%d err=%v configs=%+v\n",
			vm, nod.up, nod.disk.id, n.term, n.standing, n.leader, n.log.base, n.log.last(), n.lastTerm(), n.durable, n.commit, n.Err(), n.configs)
		for _, pr := range n.lead.peers {
			fmt.Fprintf(&buf, "  %+v\n", *pr)
		}
	}
	return buf.String()
}
