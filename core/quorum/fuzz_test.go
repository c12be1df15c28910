package quorum

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// fuzzDefaults holds the number of checks, the average number of actions in each,
// and the seed. Environment variables with the same names and the prefix
// GUAVARAIL_FUZZ_ override them.
var fuzzDefaults = map[string]string{"CHECKS": "300", "STEPS": "80", "SEED": "1"}

// fuzz checks prop with a fixed seed, so that the result is reproducible. The
// environment variable GUAVARAIL_FUZZ_SEED overrides the seed.
func fuzz(t *testing.T, seed string, prop func(*rapid.T)) {
	t.Helper()
	set := func(name, val string) {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, val); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, old) })
	}
	for name, val := range fuzzDefaults {
		if env := os.Getenv("GUAVARAIL_FUZZ_" + name); env != "" {
			val = env
		} else if name == "SEED" {
			val = seed
		}
		set("rapid."+map[string]string{"CHECKS": "checks", "STEPS": "steps", "SEED": "seed"}[name], val)
	}
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "5s")
	rapid.Check(t, prop)
}

// Guards against the loss or reordering of acknowledged commands, two leaders in
// one term and two holders of the lease. The faults are crashes at any sync, lost,
// duplicated, delayed and reordered messages, one-way partitions, process pauses,
// clock drift and emptied disks, combined with membership changes and leadership
// transfers.
func TestGroupKeepsAcknowledgedCommands(t *testing.T) {
	fuzz(t, fuzzDefaults["SEED"], func(rt *rapid.T) {
		mod := &groupModel{s: newSim(
			rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "voters"), rapid.IntRange(0, 2).Draw(rt, "learners"),
		)}
		rt.Repeat(rapid.StateMachineActions(mod))
		mod.checkRecovery(rt)
	})
}

// Guards against a command that is acknowledged while fewer disks than
// Config.MinCopies have it, and against a group that does not recover because the
// copies of an entry are missing while another member could replace them. The
// faults are those of TestGroupKeepsAcknowledgedCommands.
func TestGroupKeepsMinCopies(t *testing.T) {
	fuzz(t, fuzzDefaults["SEED"], func(rt *rapid.T) {
		mod := &groupModel{s: newSimWithCopies(
			rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "voters"), rapid.IntRange(0, 2).Draw(rt, "learners"),
			rapid.IntRange(2, 3).Draw(rt, "copies"),
		)}
		rt.Repeat(rapid.StateMachineActions(mod))
		mod.checkRecovery(rt)
	})
}

// groupModel holds the actions of the fuzzer, which are its exported methods except
// Check. rapid sorts them by name before it draws, so a rename that changes the
// order changes what a seed tests.
type groupModel struct{ s *sim }

// draw returns a random VM.
func (mod *groupModel) draw(rt *rapid.T) *simNode {
	return mod.s.nodes[rapid.SampledFrom(mod.s.vms).Draw(rt, "vm")]
}

// Check fails if the oracle has found a violation. rapid runs it after each
// action.
func (mod *groupModel) Check(rt *rapid.T) {
	if errs := mod.s.oracle.errs; len(errs) > 0 {
		rt.Fatalf("%d violations, first: %s", len(errs), errs[0])
	}
}

func (mod *groupModel) Run(rt *rapid.T) {
	mod.s.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
}

// Workload proposes commands after it has resumed paused VMs, restarted most
// crashed ones and unblocked all links.
func (mod *groupModel) Workload(rt *rapid.T) {
	mod.Resume(rt)
	mod.Heal(rt)
	mod.s.run(time.Duration(rapid.IntRange(500, 5000).Draw(rt, "ms")) * time.Millisecond)
	for range rapid.IntRange(1, 4).Draw(rt, "rounds") {
		mod.Propose(rt)
		mod.s.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "pause")) * time.Millisecond)
	}
}

// Workload2 makes Workload more frequent than each of the faults.
func (mod *groupModel) Workload2(rt *rapid.T) { mod.Workload(rt) }

// Workload3 makes Workload more frequent than each of the faults.
func (mod *groupModel) Workload3(rt *rapid.T) { mod.Workload(rt) }

// BlockLeader blocks links from the leader to some VMs, in one direction or both,
// and restarts some VMs while the leader may still hold its lease.
func (mod *groupModel) BlockLeader(rt *rapid.T) {
	ldr := mod.s.leader()
	if ldr == nil {
		return
	}
	both := rapid.Bool().Draw(rt, "both")
	mod.s.slow = rapid.Bool().Draw(rt, "slow")
	for _, nod := range mod.s.others(ldr) {
		if rapid.IntRange(0, 3).Draw(rt, "cut") > 0 {
			mod.s.blocked[[2]model.VMID{ldr.vm, nod.vm}] = true
			mod.s.blocked[[2]model.VMID{nod.vm, ldr.vm}] = both
		}
	}
	mod.s.propose(ldr)
	mod.s.run(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	for _, nod := range mod.s.others(ldr) {
		if rapid.IntRange(0, 2).Draw(rt, "restart") == 0 {
			mod.s.crash(nod)
			mod.s.start(nod)
			mod.s.blocked[[2]model.VMID{ldr.vm, nod.vm}] = rapid.Bool().Draw(rt, "cut")
		}
	}
	mod.s.propose(ldr)
	mod.s.run(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(rt, "heal") {
		mod.Heal(rt)
	}
}

// BlockLeader2 makes BlockLeader more frequent than each of the other faults.
func (mod *groupModel) BlockLeader2(rt *rapid.T) { mod.BlockLeader(rt) }

func (mod *groupModel) NetworkFaults(rt *rapid.T) {
	mod.s.loss = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(rt, "loss")
	mod.s.duplicate = rapid.SampledFrom([]int{0, 0, 20}).Draw(rt, "repeat")
	mod.s.slow = rapid.Bool().Draw(rt, "slow")
}

func (mod *groupModel) CutLink(rt *rapid.T) {
	a, b := mod.draw(rt).vm, mod.draw(rt).vm
	mod.s.blocked[[2]model.VMID{a, b}] = true
	if rapid.Bool().Draw(rt, "both") {
		mod.s.blocked[[2]model.VMID{b, a}] = true
	}
}

func (mod *groupModel) Heal(*rapid.T) { clear(mod.s.blocked) }

func (mod *groupModel) Crash(rt *rapid.T) { mod.s.crash(mod.draw(rt)) }

func (mod *groupModel) CrashAtSync(rt *rapid.T) {
	mod.draw(rt).syncsUntilCrash = rapid.IntRange(1, 4).Draw(rt, "syncs")
}

func (mod *groupModel) Pause(rt *rapid.T) { mod.draw(rt).paused = true }

func (mod *groupModel) Resume(rt *rapid.T) {
	for _, vm := range mod.s.vms {
		nod := mod.s.nodes[vm]
		nod.paused = false
		if !nod.up && rapid.IntRange(0, 3).Draw(rt, "start") > 0 {
			mod.s.start(nod)
		}
	}
}

func (mod *groupModel) Propose(rt *rapid.T) {
	nod := mod.draw(rt)
	if ldr := mod.s.leader(); ldr != nil && rapid.IntRange(0, 3).Draw(rt, "any") > 0 {
		nod = ldr
	}
	for range rapid.IntRange(1, 15).Draw(rt, "count") {
		mod.s.propose(nod)
	}
}

func (mod *groupModel) AlterMembers(rt *rapid.T) {
	if ldr := mod.s.leader(); ldr != nil {
		kind := rapid.SampledFrom([]ChangeKind{AddLearner, Promote, Promote, Remove}).Draw(rt, "kind")
		mod.s.step(ldr, NewProposeChange(0, NewChange(kind, mod.draw(rt).vm)))
	}
}

func (mod *groupModel) Transfer(*rapid.T) {
	if ldr := mod.s.leader(); ldr != nil {
		mod.s.step(ldr, NewTransfer(0))
	}
}

func (mod *groupModel) HaltNode(rt *rapid.T) {
	if nod := mod.draw(rt); !nod.paused {
		mod.s.step(nod, NewHalt(&TransferError{reason: "disk full"}))
	}
}

// LoseDisk replaces a disk with an empty one, unless canLoseDisk returns false.
func (mod *groupModel) LoseDisk(rt *rapid.T) {
	nod := mod.draw(rt)
	if !mod.s.canLoseDisk(string(nod.vm)) {
		return
	}
	mod.s.crash(nod)
	nod.disk = mod.s.newDisk()
	mod.s.start(nod)
}

// ReplaceVoter takes a voter whose disk was emptied and replaces it as an operator
// does: it removes the voter, adds it as a learner and promotes it. Then it calls
// LoseDisk.
func (mod *groupModel) ReplaceVoter(rt *rapid.T) {
	ldr := mod.s.leader()
	if ldr == nil {
		return
	}
	for _, mem := range ldr.node.members().voters() {
		if mem.disk == mod.s.nodes[mem.vm].disk.id {
			continue
		}
		for _, kind := range []ChangeKind{Remove, AddLearner, Promote} {
			mod.s.step(ldr, NewProposeChange(0, NewChange(kind, mem.vm)))
			mod.s.run(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		mod.LoseDisk(rt)
		return
	}
}

// checkRecovery repairs all faults. A group with a quorum of intact disks must
// then elect a leader that has every acknowledged command and accepts new ones.
// All members must reach its commit index, except voters whose disk was replaced.
func (mod *groupModel) checkRecovery(rt *rapid.T) {
	s := mod.s
	healed := s.now
	ldr := s.healAndAwaitLeader(60 * time.Second)
	mod.Check(rt)
	if ldr == nil {
		if mod.s.canRecover() {
			rt.Fatalf("no leader after 60 s\n%s", s.dump())
		}
		return
	}
	// A command is retried, as it may be rejected while a transfer ends.
	for before := s.oracle.lastAcked; s.oracle.lastAcked == before; {
		if s.now > healed+120*time.Second && !s.canRecover() {
			return
		}
		if s.now > healed+120*time.Second {
			rt.Fatalf("a repaired group accepts no command\n%s", s.dump())
		}
		if ldr = s.leader(); ldr != nil {
			s.propose(ldr)
		}
		s.run(time.Second)
	}
	s.run(10 * time.Second)
	mod.Check(rt)
	if ldr = s.leader(); ldr == nil && !s.canRecover() {
		return
	} else if ldr == nil {
		rt.Fatalf("a repaired group has no leader\n%s", s.dump())
	}
	for _, mem := range ldr.node.members().list {
		nod := s.nodes[mem.vm]
		if (mem.disk == "" || mem.disk == nod.disk.id) && nod.node.commit != ldr.node.commit {
			rt.Fatalf("%s has applied entry %d, the leader %s entry %d\n%s", mem.vm, nod.node.commit, ldr.vm, ldr.node.commit, s.dump())
		}
	}
}

// canRecover reports whether a quorum of the latest committed configuration still
// has its disks. During bootstrap, no disk of any VM may have been replaced.
func (s *sim) canRecover() bool {
	mems := initialMembers(s.voters, nil)
	for _, ent := range s.oracle.committed {
		if ent.kind == EntryMembers {
			mems = ent.members
		}
	}
	intact := 0
	for _, mem := range mems.voters() {
		if mem.disk == "" || mem.disk == s.nodes[mem.vm].disk.id {
			intact++
		}
	}
	if !mems.disksKnown() || mems.bootstrap {
		return intact == len(mems.voters()) && s.disks == len(s.vms)
	}
	return intact >= majority(len(mems.voters())) && s.canLoseDisk("") && s.canCommit()
}

// canCommit reports whether enough voters of every configuration that any VM holds
// have their disks for minCopies. A later configuration than the committed one may
// have taken effect with fewer.
func (s *sim) canCommit() bool {
	for _, vm := range s.vms {
		for _, mems := range s.configsOf(s.nodes[vm]) {
			vots := mems.voters()
			intact := 0
			for _, mem := range vots {
				if mem.disk == "" || mem.disk == s.nodes[mem.vm].disk.id {
					intact++
				}
			}
			if intact < min(s.minCopies, len(vots)) {
				return false
			}
		}
	}
	return true
}
