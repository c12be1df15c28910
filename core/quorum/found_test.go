package quorum

import (
	"errors"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// foundSim returns a group that accepted some commands, and its leader.
func foundSim(t *testing.T, seed uint64, voters, learners int) (*sim, *simNode) {
	t.Helper()
	s := newSim(seed, voters, learners)
	led := s.settle(30 * time.Second)
	if led == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.propose(led)
	s.run(time.Second)
	return s, led
}

// others returns the VMs besides nod.
func (s *sim) others(nod *simNode) []*simNode {
	var lst []*simNode
	for _, vm := range s.vms {
		if vm != nod.vm {
			lst = append(lst, s.nodes[vm])
		}
	}
	return lst
}

// checked fails the test with what the oracle found.
func (s *sim) checked(t *testing.T) {
	t.Helper()
	if len(s.oracle.errs) > 0 {
		t.Fatal(s.oracle.errs[0])
	}
}

// Guards against a loop found with seed 2000231: after a member had received a
// snapshot, the leader went back to its first entry and sent it again.
func TestEntriesFollowAReceivedSnapshot(t *testing.T) {
	s, led := foundSim(t, 2000231, 1, 1)
	learner := s.others(led)[0]
	for range 50 {
		s.propose(led)
	}
	s.run(time.Second)
	s.crash(learner)
	s.crash(led)
	s.start(led)
	s.run(time.Second)
	pr := led.node.lead.peers[learner.vm]
	reply := MessageSpec{Kind: AppendReply, From: learner.vm, Term: led.node.term, Disk: learner.disk.id, Reject: true}
	led.node.Step(s.local(led), NewReceive(NewMessage(reply)))
	if !pr.outgoing.active {
		t.Fatalf("no snapshot is sent\n%s", s.dump())
	}
	snap := led.node.snap
	reply = MessageSpec{Kind: PieceReply, From: learner.vm, Term: led.node.term, Disk: learner.disk.id, Snapshot: snap, Offset: snap.size}
	for _, eff := range led.node.Step(s.local(led), NewReceive(NewMessage(reply))) {
		if _, ok := eff.(SendPiece); ok {
			t.Fatal("the snapshot is sent again")
		}
	}
	if pr.next <= snap.index {
		t.Fatalf("next is %d after the snapshot at %d", pr.next, snap.index)
	}
}

// Guards against a group without a leader, found with seed 1: a leader wrote
// its own removal, restarted, and was the only one with the log to commit it.
func TestRemovedLeaderFinishesItsRemoval(t *testing.T) {
	s, led := foundSim(t, 1, 2, 0)
	other := s.others(led)[0]
	s.step(led, NewAlter(1, NewChange(Remove, led.vm)))
	for range 100 {
		if led.node.members().only(other.vm) {
			break
		}
		s.run(100 * time.Microsecond)
	}
	s.cut[[2]model.VMID{led.vm, other.vm}] = true
	s.run(50 * time.Millisecond)
	if !led.node.members().only(other.vm) || other.node.members().only(other.vm) {
		t.Fatalf("the removal is not on the leader only\n%s", s.dump())
	}
	s.crash(led)
	if got := s.settle(30 * time.Second); got == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.run(10 * time.Second)
	if got := s.leader(); got != other || !other.node.members().only(other.vm) {
		t.Fatalf("the removal is not committed\n%s", s.dump())
	}
	s.checked(t)
}

// Guards against a removal that leaves no quorum, found with seed 5152.
func TestRemovalWithoutQuorumIsRefused(t *testing.T) {
	s, led := foundSim(t, 5152, 3, 0)
	lost, kept := s.others(led)[0], s.others(led)[1]
	s.crash(lost)
	s.run(5 * time.Second)
	s.step(led, NewAlter(1, NewChange(Remove, kept.vm)))
	if led.rejects != 1 {
		t.Fatalf("the removal is not refused\n%s", s.dump())
	}
	s.step(led, NewAlter(2, NewChange(Remove, lost.vm)))
	s.run(time.Second)
	if got := led.node.members().voters(); len(got) != 2 {
		t.Fatalf("the lost voter is not removed: %v", got)
	}
	s.checked(t)
}

// Guards against a second group, found with seed 1211347: the only first voter
// lost its disk after the group had grown, and led alone again.
func TestEmptiedFirstVoterWaitsForTheGroup(t *testing.T) {
	s, led := foundSim(t, 1211347, 1, 2)
	for id, nod := range s.others(led) {
		s.step(led, NewAlter(uint64(id), NewChange(Promote, nod.vm)))
		s.run(time.Second)
	}
	if got := len(led.node.members().voters()); got != 3 {
		t.Fatalf("%d voters, want 3\n%s", got, s.dump())
	}
	s.crash(led)
	s.run(10 * time.Second)
	led.disk = s.newDisk()
	s.start(led)
	s.run(30 * time.Second)
	if led.node.standing == leader || len(led.node.members().voters()) != 1 {
		t.Fatalf("the emptied voter takes part\n%s", s.dump())
	}
	s.checked(t)
}

// Guards against an older copy of a disk: it must stop when a peer knows that
// the disk has acknowledged more.
func TestOlderCopyOfADiskIsRefused(t *testing.T) {
	s, led := foundSim(t, 7, 3, 0)
	nod := s.others(led)[0]
	old := *nod.disk
	old.entries, old.logQueue, old.snapQueue = slices.Clone(old.entries), nil, nil
	for range 5 {
		s.propose(led)
	}
	s.run(2 * time.Second)
	s.crash(nod)
	nod.disk = &old
	s.start(nod)
	s.run(2 * time.Second)
	var stale *StaleDiskError
	if !errors.As(nod.node.Err(), &stale) || stale.Acked() <= stale.Last() {
		t.Fatalf("got %v", nod.node.Err())
	}
	if !nod.node.Role(s.local(nod)).Failed() {
		t.Fatal("the role does not show the failure")
	}
	s.checked(t)
}

// Guards membership changes: one at a time, and a learner that has not caught
// up is not promoted.
func TestOneChangeAtATimeAndPromotionWaits(t *testing.T) {
	s, led := foundSim(t, 8, 3, 1)
	learner := s.nodes[s.vms[3]]
	s.crash(learner)
	for range 30 {
		s.propose(led)
	}
	s.run(time.Second)
	s.step(led, NewAlter(1, NewChange(Promote, learner.vm)))
	s.step(led, NewAlter(2, NewChange(Remove, led.vm)))
	s.run(5 * time.Second)
	if got := len(led.node.members().voters()); led.rejects != 1 || got != 3 {
		t.Fatalf("%d refusals and %d voters\n%s", led.rejects, got, s.dump())
	}
	s.start(learner)
	s.run(5 * time.Second)
	mem, _ := led.node.members().Find(learner.vm)
	if !mem.voter || mem.disk != learner.disk.id || learner.node.commit != led.node.commit {
		t.Fatalf("the learner is not promoted\n%s", s.dump())
	}
	s.checked(t)
}

// Guards the zero value: it is a group of one that commits.
func TestZeroNodeCommits(t *testing.T) {
	var n Node
	in := []Input{Tick{}, NewPropose(NewProposal(1, []byte("x")))}
	applied := 0
	for pos := 0; pos < len(in); pos++ {
		for _, eff := range n.Step(0, in[pos]) {
			switch val := eff.(type) {
			case Persist:
				in = slices.Insert(in, pos+1, Input(NewPersisted(val.seq)))
			case Apply:
				if val.entry.kind == EntryCommand {
					applied++
				}
			}
		}
	}
	if applied != 1 {
		t.Fatalf("%d commands applied, want 1", applied)
	}
}

// Guards against a leader without a lease for good: the target of a transfer
// was removed from the group after the leader had given up its lease, found
// with seed 41539902.
func TestTransferToARemovedVoterEnds(t *testing.T) {
	s, led := foundSim(t, 41539902, 3, 0)
	target := s.others(led)[0]
	s.step(led, NewAlter(1, NewChange(Remove, target.vm)))
	s.cut[[2]model.VMID{led.vm, target.vm}] = true
	s.step(led, NewTransfer(2))
	if led.node.lead.handover.target != target.vm || !led.node.lead.yielded {
		t.Fatalf("the transfer does not go to the removed voter\n%s", s.dump())
	}
	s.run(200 * time.Millisecond)
	if _, ok := led.node.members().Find(target.vm); ok {
		t.Fatalf("the voter is not removed\n%s", s.dump())
	}
	if got := s.settle(30 * time.Second); got == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.checked(t)
}
