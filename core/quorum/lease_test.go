package quorum

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// isolate blocks all links of a VM, in both directions.
func (s *sim) isolate(nod *simNode) {
	for _, other := range s.others(nod) {
		s.blocked[[2]model.VMID{nod.vm, other.vm}] = true
		s.blocked[[2]model.VMID{other.vm, nod.vm}] = true
	}
}

// Guards against a lease that outlasts LeaseDuration because of a delayed reply:
// the lease must start when the acknowledged heartbeat was sent, not when the
// reply was received.
func TestLateReplyDoesNotLengthenTheLease(t *testing.T) {
	s, ldr := newSimWithLeader(t, 3, 3, 0)
	other := s.others(ldr)[0]
	s.isolate(ldr)
	sent := s.localTime(ldr)
	s.run(700 * time.Millisecond)
	s.step(ldr, NewReceive(NewMessage(MessageSpec{
		Kind: AppendReply, From: other.vm, Term: ldr.node.term, Disk: other.disk.id, Index: ldr.node.commit, Sent: sent,
	})))
	if !ldr.node.Role(s.localTime(ldr)).Leased() {
		t.Fatalf("no lease 700 ms after the last heartbeat\n%s", s.dump())
	}
	s.run(150 * time.Millisecond)
	if ldr.node.Role(s.localTime(ldr)).Leased() {
		t.Fatal("the lease is valid 850 ms after the last heartbeat")
	}
	s.failOnViolation(t)
}

// Guards against a vote during a lease: a voter that acknowledged a heartbeat and
// then restarted must not vote before the lease has expired.
func TestRestartedVoterRefusesVotes(t *testing.T) {
	s, ldr := newSimWithLeader(t, 4, 3, 0)
	voter, cand := s.others(ldr)[0], s.others(ldr)[1]
	s.crash(voter)
	s.start(voter)
	s.isolate(voter)
	rejected := func() bool {
		msg := NewMessage(MessageSpec{
			Kind: PreVote, From: cand.vm, To: voter.vm, Term: voter.node.term + 1, Disk: cand.disk.id,
			Index: 1000, LogTerm: voter.node.term,
		})
		for _, eff := range voter.node.Step(s.localTime(voter), NewReceive(msg)) {
			if val, ok := eff.(Send); ok && val.msg.Kind() == PreVoteReply {
				return val.msg.spec.Reject
			}
		}
		t.Fatal("no reply")
		return false
	}
	if !rejected() {
		t.Fatal("a vote is granted right after a restart")
	}
	s.run(MinElectionTimeout)
	if rejected() {
		t.Fatal("a vote is rejected after the lease has expired")
	}
}

// Guards against two lease holders and against a long time without a leader during
// a leadership transfer: the old leader must release its lease when it sends
// TimeoutNow, and the target must be elected without waiting for an election
// timeout.
func TestTransferReleasesTheLease(t *testing.T) {
	s, ldr := newSimWithLeader(t, 5, 3, 0)
	s.step(ldr, NewTransfer(1))
	if ldr.node.Role(s.localTime(ldr)).Leased() {
		t.Fatal("the lease is valid after TimeoutNow was sent")
	}
	s.run(MinElectionTimeout / 2)
	if got := s.leader(); got == nil || got == ldr {
		t.Fatalf("no new leader\n%s", s.dump())
	}
	s.failOnViolation(t)
}

// Guards against a leader that counts an earlier lease as ended too early, because it
// or one of its voters was not in touch with the former leader, or was that leader. The
// oracle checks the time.
func TestFormerLeaseEndsAfterEveryLease(t *testing.T) {
	for seed := range uint64(20) {
		s, ldr := newSimWithLeader(t, seed, 3, 0)
		cut, other := s.others(ldr)[0], s.others(ldr)[1]
		s.isolate(cut)
		s.run(700 * time.Millisecond)
		if seed%2 == 0 {
			clear(s.blocked)
			s.isolate(ldr)
		} else {
			s.isolate(other)
			s.run(2500 * time.Millisecond)
			clear(s.blocked)
			s.isolate(other)
		}
		s.run(6 * time.Second)
		if next := s.leader(); next == nil {
			t.Errorf("seed %d: no leader", seed)
		}
		s.failOnViolation(t)
	}
}
