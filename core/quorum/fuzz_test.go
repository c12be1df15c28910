package quorum

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// The fixed run of CI. The environment variables of the same names with the
// prefix GUAVARAIL_FUZZ_ ask for more.
var fuzzDefaults = map[string]string{"CHECKS": "300", "STEPS": "80", "SEED": "1"}

// fuzz runs the model with a seed, so that a run gives the same verdict each
// time.
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

// Guards the accepted commands: a group under crashes at every sync, lost,
// repeated, late and reordered messages, one-way cuts, pauses, drifting clocks,
// membership changes, transfers and emptied disks must never lose or reorder
// one, have two leaders in a term or two holders of the lease.
func TestGroupKeepsAcceptedCommands(t *testing.T) {
	fuzz(t, fuzzDefaults["SEED"], func(rt *rapid.T) {
		mod := &groupModel{s: newSim(
			rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "voters"), rapid.IntRange(0, 2).Draw(rt, "learners"),
		)}
		rt.Repeat(rapid.StateMachineActions(mod))
		mod.finish(rt)
	})
}

// groupModel has the actions of the fuzzer.
type groupModel struct{ s *sim }

func (mod *groupModel) draw(rt *rapid.T) *simNode {
	return mod.s.nodes[rapid.SampledFrom(mod.s.vms).Draw(rt, "vm")]
}

// Check reports what the oracle found.
func (mod *groupModel) Check(rt *rapid.T) {
	if errs := mod.s.oracle.errs; len(errs) > 0 {
		rt.Fatalf("%d faults, first: %s", len(errs), errs[0])
	}
}

func (mod *groupModel) Run(rt *rapid.T) {
	mod.s.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
}

// Work lets a group that is mostly whole accept commands.
func (mod *groupModel) Work(rt *rapid.T) {
	mod.Resume(rt)
	mod.Heal(rt)
	mod.s.run(time.Duration(rapid.IntRange(500, 5000).Draw(rt, "ms")) * time.Millisecond)
	for range rapid.IntRange(1, 4).Draw(rt, "rounds") {
		mod.Propose(rt)
		mod.s.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "pause")) * time.Millisecond)
	}
}

// Work2 makes work more frequent than each of the faults.
func (mod *groupModel) Work2(rt *rapid.T) { mod.Work(rt) }

// Work3 makes work more frequent than each of the faults.
func (mod *groupModel) Work3(rt *rapid.T) { mod.Work(rt) }

// Corner cuts the leader off from some VMs, in one direction or both, and
// restarts others while it may still hold the lease.
func (mod *groupModel) Corner(rt *rapid.T) {
	led := mod.s.leader()
	if led == nil {
		return
	}
	both := rapid.Bool().Draw(rt, "both")
	mod.s.slow = rapid.Bool().Draw(rt, "slow")
	for _, nod := range mod.s.others(led) {
		if rapid.IntRange(0, 3).Draw(rt, "cut") > 0 {
			mod.s.cut[[2]model.VMID{led.vm, nod.vm}] = true
			mod.s.cut[[2]model.VMID{nod.vm, led.vm}] = both
		}
	}
	mod.s.propose(led)
	mod.s.run(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	for _, nod := range mod.s.others(led) {
		if rapid.IntRange(0, 2).Draw(rt, "restart") == 0 {
			mod.s.crash(nod)
			mod.s.start(nod)
			mod.s.cut[[2]model.VMID{led.vm, nod.vm}] = rapid.Bool().Draw(rt, "cut")
		}
	}
	mod.s.propose(led)
	mod.s.run(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(rt, "heal") {
		mod.Heal(rt)
	}
}

// Corner2 makes Corner more frequent than each of the other faults.
func (mod *groupModel) Corner2(rt *rapid.T) { mod.Corner(rt) }

func (mod *groupModel) Network(rt *rapid.T) {
	mod.s.loss = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(rt, "loss")
	mod.s.repeat = rapid.SampledFrom([]int{0, 0, 20}).Draw(rt, "repeat")
	mod.s.slow = rapid.Bool().Draw(rt, "slow")
}

func (mod *groupModel) Cut(rt *rapid.T) {
	a, b := mod.draw(rt).vm, mod.draw(rt).vm
	mod.s.cut[[2]model.VMID{a, b}] = true
	if rapid.Bool().Draw(rt, "both") {
		mod.s.cut[[2]model.VMID{b, a}] = true
	}
}

func (mod *groupModel) Heal(*rapid.T) { clear(mod.s.cut) }

func (mod *groupModel) Crash(rt *rapid.T) { mod.s.crash(mod.draw(rt)) }

func (mod *groupModel) CrashAtSync(rt *rapid.T) {
	mod.draw(rt).crashAt = rapid.IntRange(1, 4).Draw(rt, "syncs")
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
	if led := mod.s.leader(); led != nil && rapid.IntRange(0, 3).Draw(rt, "any") > 0 {
		nod = led
	}
	for range rapid.IntRange(1, 15).Draw(rt, "count") {
		mod.s.propose(nod)
	}
}

func (mod *groupModel) Alter(rt *rapid.T) {
	if led := mod.s.leader(); led != nil {
		kind := rapid.SampledFrom([]ChangeKind{AddLearner, Promote, Promote, Remove}).Draw(rt, "kind")
		mod.s.step(led, NewAlter(0, NewChange(kind, mod.draw(rt).vm)))
	}
}

func (mod *groupModel) Transfer(*rapid.T) {
	if led := mod.s.leader(); led != nil {
		mod.s.step(led, NewTransfer(0))
	}
}

func (mod *groupModel) HaltDisk(rt *rapid.T) {
	if nod := mod.draw(rt); !nod.paused {
		mod.s.step(nod, NewHalt(&TransferError{reason: "disk full"}))
	}
}

// LoseDisk empties a disk, if a quorum keeps theirs.
func (mod *groupModel) LoseDisk(rt *rapid.T) {
	nod := mod.draw(rt)
	if !mod.s.mayLose(string(nod.vm)) {
		return
	}
	mod.s.crash(nod)
	nod.disk = mod.s.newDisk()
	mod.s.start(nod)
}

// Replace carries out the operator's replacement of a VM with an emptied disk,
// and may lose another disk right after.
func (mod *groupModel) Replace(rt *rapid.T) {
	led := mod.s.leader()
	if led == nil {
		return
	}
	for _, mem := range led.node.members().voters() {
		if mem.disk == mod.s.nodes[mem.vm].disk.id {
			continue
		}
		for _, kind := range []ChangeKind{Remove, AddLearner, Promote} {
			mod.s.step(led, NewAlter(0, NewChange(kind, mem.vm)))
			mod.s.run(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		mod.LoseDisk(rt)
		return
	}
}

// finish heals the group; with a quorum of intact disks it must elect a leader
// that has every answered command, and all members must reach its state.
func (mod *groupModel) finish(rt *rapid.T) {
	s := mod.s
	healed := s.now
	led := s.settle(60 * time.Second)
	mod.Check(rt)
	if led == nil {
		if mod.s.alive() {
			rt.Fatalf("no leader after 60 s\n%s", s.dump())
		}
		return
	}
	// A command may meet the end of a transfer, so callers retry.
	for before := s.oracle.acked; s.oracle.acked == before; {
		if s.now > healed+120*time.Second && !s.alive() {
			return
		}
		if s.now > healed+120*time.Second {
			rt.Fatalf("a healed group accepts no command\n%s", s.dump())
		}
		if led = s.leader(); led != nil {
			s.propose(led)
		}
		s.run(time.Second)
	}
	s.run(10 * time.Second)
	mod.Check(rt)
	if led = s.leader(); led == nil && !s.alive() {
		return
	} else if led == nil {
		rt.Fatalf("a healed group has no leader\n%s", s.dump())
	}
	for _, mem := range led.node.members().list {
		nod := s.nodes[mem.vm]
		if (mem.disk == "" || mem.disk == nod.disk.id) && nod.node.commit != led.node.commit {
			rt.Fatalf("%s is at %d, the leader %s at %d\n%s", mem.vm, nod.node.commit, led.vm, led.node.commit, s.dump())
		}
	}
}

// alive reports whether a quorum of the newest committed configuration has its
// disks, and the group was founded or can be.
func (s *sim) alive() bool {
	mems := initialMembers(s.voters, nil)
	for _, ent := range s.oracle.truth {
		if ent.kind == EntryMembers {
			mems = ent.members
		}
	}
	have := 0
	for _, mem := range mems.voters() {
		if mem.disk == "" || mem.disk == s.nodes[mem.vm].disk.id {
			have++
		}
	}
	if !mems.bound() || mems.founding {
		return have == len(mems.voters()) && s.disks == len(s.vms)
	}
	return have >= majority(len(mems.voters())) && s.mayLose("")
}
