package quorum

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// isolate cuts all links of a VM.
func (s *sim) isolate(nod *simNode) {
	for _, other := range s.others(nod) {
		s.cut[[2]model.VMID{nod.vm, other.vm}] = true
		s.cut[[2]model.VMID{other.vm, nod.vm}] = true
	}
}

// Guards the lease against late replies: it counts from the time at which the
// acknowledged round was sent, not from the receipt of the reply.
func TestLateReplyDoesNotLengthenTheLease(t *testing.T) {
	s, led := foundSim(t, 3, 3, 0)
	other := s.others(led)[0]
	s.isolate(led)
	sent := s.local(led)
	s.run(700 * time.Millisecond)
	s.step(led, NewReceive(NewMessage(MessageSpec{
		Kind: AppendReply, From: other.vm, Term: led.node.term, Disk: other.disk.id, Index: led.node.commit, Sent: sent,
	})))
	if !led.node.Role(s.local(led)).Leased() {
		t.Fatalf("no lease 700 ms after the last round\n%s", s.dump())
	}
	s.run(150 * time.Millisecond)
	if led.node.Role(s.local(led)).Leased() {
		t.Fatal("the lease holds 850 ms after the last round")
	}
	s.checked(t)
}

// Guards the lease against restarts: a voter that acknowledged a round and
// restarted must not vote before the lease is over.
func TestRestartedVoterRefusesVotes(t *testing.T) {
	s, led := foundSim(t, 4, 3, 0)
	voter, asks := s.others(led)[0], s.others(led)[1]
	s.crash(voter)
	s.start(voter)
	s.isolate(voter)
	refused := func() bool {
		msg := NewMessage(MessageSpec{
			Kind: PreVote, From: asks.vm, To: voter.vm, Term: voter.node.term + 1, Disk: asks.disk.id,
			Index: 1000, LogTerm: voter.node.term,
		})
		for _, eff := range voter.node.Step(s.local(voter), NewReceive(msg)) {
			if val, ok := eff.(Send); ok && val.msg.Kind() == PreVoteReply {
				return val.msg.spec.Reject
			}
		}
		t.Fatal("no reply")
		return false
	}
	if !refused() {
		t.Fatal("a vote is granted right after a restart")
	}
	s.run(ElectionShortest)
	if refused() {
		t.Fatal("a vote is refused after the lease is over")
	}
}

// Guards transfers: the old leader has no lease from the moment it asks the
// target, and the target leads without waiting for an election timeout.
func TestTransferGivesUpTheLease(t *testing.T) {
	s, led := foundSim(t, 5, 3, 0)
	s.step(led, NewTransfer(1))
	if led.node.Role(s.local(led)).Leased() {
		t.Fatal("the lease holds after the target was asked")
	}
	s.run(ElectionShortest / 2)
	if got := s.leader(); got == nil || got == led {
		t.Fatalf("no new leader\n%s", s.dump())
	}
	s.checked(t)
}
