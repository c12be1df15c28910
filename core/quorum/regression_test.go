package quorum

import (
	"errors"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// newSimWithLeader returns a group without faults that has committed a command, and
// its leader.
func newSimWithLeader(t *testing.T, seed uint64, voters, learners int) (*sim, *simNode) {
	t.Helper()
	s := newSim(seed, voters, learners)
	ldr := s.healAndAwaitLeader(30 * time.Second)
	if ldr == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.propose(ldr)
	s.run(time.Second)
	return s, ldr
}

// others returns all VMs except nod.
func (s *sim) others(nod *simNode) []*simNode {
	var lst []*simNode
	for _, vm := range s.vms {
		if vm != nod.vm {
			lst = append(lst, s.nodes[vm])
		}
	}
	return lst
}

// failOnViolation fails the test with the first violation that the oracle found.
func (s *sim) failOnViolation(t *testing.T) {
	t.Helper()
	if len(s.oracle.errs) > 0 {
		t.Fatal(s.oracle.errs[0])
	}
}

// Guards against an endless snapshot transfer: after a member had received a
// snapshot, the leader reset the member's next entry to the first one and sent
// the snapshot again. Seed 2000231 of the fuzzer reproduced it.
func TestEntriesFollowAReceivedSnapshot(t *testing.T) {
	s, ldr := newSimWithLeader(t, 2000231, 1, 1)
	learner := s.others(ldr)[0]
	for range 50 {
		s.propose(ldr)
	}
	s.run(time.Second)
	s.crash(learner)
	s.crash(ldr)
	s.start(ldr)
	s.run(time.Second)
	pr := ldr.node.leaderState.peers[learner.vm]
	reply := MessageSpec{Kind: AppendReply, From: learner.vm, Term: ldr.node.term, Disk: learner.disk.id, Reject: true}
	ldr.node.Step(s.localTime(ldr), NewReceive(NewMessage(reply)))
	if !pr.outgoingSnapshot.active {
		t.Fatalf("no snapshot is sent\n%s", s.dump())
	}
	snap := ldr.node.snap
	reply = MessageSpec{Kind: SnapshotChunkReply, From: learner.vm, Term: ldr.node.term, Disk: learner.disk.id, Snapshot: snap, Offset: snap.size}
	for _, eff := range ldr.node.Step(s.localTime(ldr), NewReceive(NewMessage(reply))) {
		if _, ok := eff.(SendChunk); ok {
			t.Fatal("the snapshot is sent again")
		}
	}
	if pr.next <= snap.index {
		t.Fatalf("next is %d after the snapshot at %d", pr.next, snap.index)
	}
}

// Guards against a group without a leader: a leader appended its own removal and
// restarted before the entry was committed. Only this VM has the entry, so it must
// still be able to win an election. Seed 1 of the fuzzer reproduced it.
func TestRemovedLeaderFinishesItsRemoval(t *testing.T) {
	s, ldr := newSimWithLeader(t, 1, 2, 0)
	other := s.others(ldr)[0]
	s.step(ldr, NewProposeChange(1, NewChange(Remove, ldr.vm)))
	for range 100 {
		if ldr.node.members().isSoleVoter(other.vm) {
			break
		}
		s.run(100 * time.Microsecond)
	}
	s.blocked[[2]model.VMID{ldr.vm, other.vm}] = true
	s.run(50 * time.Millisecond)
	if !ldr.node.members().isSoleVoter(other.vm) || other.node.members().isSoleVoter(other.vm) {
		t.Fatalf("the log of the leader alone must contain the removal\n%s", s.dump())
	}
	s.crash(ldr)
	if got := s.healAndAwaitLeader(30 * time.Second); got == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.run(10 * time.Second)
	if got := s.leader(); got != other || !other.node.members().isSoleVoter(other.vm) {
		t.Fatalf("the removal is not committed\n%s", s.dump())
	}
	s.failOnViolation(t)
}

// Guards against the removal of a healthy voter that leaves a group without a
// quorum because another voter is down. Seed 5152 of the fuzzer reproduced it.
func TestRemovalWithoutQuorumIsRefused(t *testing.T) {
	s, ldr := newSimWithLeader(t, 5152, 3, 0)
	failed, healthy := s.others(ldr)[0], s.others(ldr)[1]
	s.crash(failed)
	s.run(5 * time.Second)
	s.step(ldr, NewProposeChange(1, NewChange(Remove, healthy.vm)))
	if ldr.rejections != 1 {
		t.Fatalf("the removal is not rejected\n%s", s.dump())
	}
	s.step(ldr, NewProposeChange(2, NewChange(Remove, failed.vm)))
	s.run(time.Second)
	if got := ldr.node.members().voters(); len(got) != 2 {
		t.Fatalf("the failed voter is not removed: %v", got)
	}
	s.failOnViolation(t)
}

// Guards against split brain: the only initial voter lost its disk after other
// voters had been added, and elected itself as the leader of a new group. Seed
// 1211347 of the fuzzer reproduced it.
func TestEmptiedFirstVoterWaitsForTheGroup(t *testing.T) {
	s, ldr := newSimWithLeader(t, 1211347, 1, 2)
	for id, nod := range s.others(ldr) {
		s.step(ldr, NewProposeChange(uint64(id), NewChange(Promote, nod.vm)))
		s.run(time.Second)
	}
	if got := len(ldr.node.members().voters()); got != 3 {
		t.Fatalf("%d voters, want 3\n%s", got, s.dump())
	}
	s.crash(ldr)
	s.run(10 * time.Second)
	ldr.disk = s.newDisk()
	s.start(ldr)
	s.run(30 * time.Second)
	if ldr.node.state == leader || len(ldr.node.members().voters()) != 1 {
		t.Fatalf("the voter with the emptied disk became leader or received the log\n%s", s.dump())
	}
	s.failOnViolation(t)
}

// Guards against the loss of committed entries when a disk is replaced by an older
// copy of itself: the replica must fail once another one reports that the disk has
// acknowledged an entry beyond the end of its log.
func TestOlderCopyOfADiskIsRefused(t *testing.T) {
	s, ldr := newSimWithLeader(t, 7, 3, 0)
	nod := s.others(ldr)[0]
	old := *nod.disk
	old.entries, old.logQueue, old.snapQueue = slices.Clone(old.entries), nil, nil
	for range 5 {
		s.propose(ldr)
	}
	s.run(2 * time.Second)
	s.crash(nod)
	nod.disk = &old
	s.start(nod)
	s.run(2 * time.Second)
	var sd *StaleDiskError
	if !errors.As(nod.node.Err(), &sd) || sd.Acked() <= sd.Last() {
		t.Fatalf("node error %v, want a StaleDiskError", nod.node.Err())
	}
	if !nod.node.Role(s.localTime(nod)).Failed() {
		t.Fatal("the role does not report the failure")
	}
	s.failOnViolation(t)
}

// Guards against two concurrent membership changes, and against the promotion of
// a learner that has not caught up.
func TestOneChangeAtATimeAndPromotionWaits(t *testing.T) {
	s, ldr := newSimWithLeader(t, 8, 3, 1)
	learner := s.nodes[s.vms[3]]
	s.crash(learner)
	for range 30 {
		s.propose(ldr)
	}
	s.run(time.Second)
	s.step(ldr, NewProposeChange(1, NewChange(Promote, learner.vm)))
	s.step(ldr, NewProposeChange(2, NewChange(Remove, ldr.vm)))
	s.run(5 * time.Second)
	if got := len(ldr.node.members().voters()); ldr.rejections != 1 || got != 3 {
		t.Fatalf("%d rejections and %d voters\n%s", ldr.rejections, got, s.dump())
	}
	s.start(learner)
	s.run(5 * time.Second)
	mem, _ := ldr.node.members().Find(learner.vm)
	if !mem.voter || mem.disk != learner.disk.id || learner.node.commit != ldr.node.commit {
		t.Fatalf("the learner is not promoted\n%s", s.dump())
	}
	s.failOnViolation(t)
}

// Guards against a zero Node that commits no commands: it must act as the only
// voter of a group.
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

// Guards against a leader that never regains a lease: the target of a leadership
// transfer was removed from the group after the leader had released its lease.
// Seed 41539902 of the fuzzer reproduced it.
func TestTransferToARemovedVoterEnds(t *testing.T) {
	s, ldr := newSimWithLeader(t, 41539902, 3, 0)
	target := s.others(ldr)[0]
	s.step(ldr, NewProposeChange(1, NewChange(Remove, target.vm)))
	s.blocked[[2]model.VMID{ldr.vm, target.vm}] = true
	s.step(ldr, NewTransfer(2))
	if ldr.node.leaderState.leadershipTransfer.target != target.vm || !ldr.node.leaderState.leaseReleased {
		t.Fatalf("the removed voter is not the target of the transfer\n%s", s.dump())
	}
	s.run(200 * time.Millisecond)
	if _, ok := ldr.node.members().Find(target.vm); ok {
		t.Fatalf("the voter is not removed\n%s", s.dump())
	}
	if got := s.healAndAwaitLeader(30 * time.Second); got == nil {
		t.Fatalf("no leader\n%s", s.dump())
	}
	s.failOnViolation(t)
}

// Guards against a voter that votes twice in one term, before and after it lost its
// disk and with it its vote: the vote from the new disk must not count.
func TestVoteFromAReplacedDiskDoesNotCount(t *testing.T) {
	s, ldr := newSimWithLeader(t, 9, 3, 0)
	can, other := s.others(ldr)[0], s.others(ldr)[1]
	s.blocked[[2]model.VMID{can.vm, ldr.vm}], s.blocked[[2]model.VMID{can.vm, other.vm}] = true, true
	s.step(can, NewReceive(NewMessage(MessageSpec{Kind: TimeoutNow, From: ldr.vm, Term: can.node.term})))
	s.run(50 * time.Millisecond)
	vote := MessageSpec{Kind: VoteReply, From: other.vm, Term: can.node.term, Disk: "emptied"}
	s.step(can, NewReceive(NewMessage(vote)))
	if can.node.state != candidate {
		t.Fatalf("the vote from another disk counts\n%s", s.dump())
	}
	vote.Disk = other.disk.id
	s.step(can, NewReceive(NewMessage(vote)))
	if can.node.state != leader {
		t.Fatalf("the vote from the disk in the configuration does not count\n%s", s.dump())
	}
}
