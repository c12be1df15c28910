package slots

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// holderWithCredits returns a holder that has sent report 1 and holds five
// credits of w-1, which the routing machine has confirmed.
func holderWithCredits(t *testing.T) *Holder {
	t.Helper()
	ho := NewHolder("vm-1", 1)
	ho.Step(0, NewUsage("w-1", 0, 8, 0, 1))
	out := ho.Step(1, NewGrant(GrantSpec{VM: "vm-1", Boot: 1, Term: 1, Number: 1, Sequence: 1, Shares: []Share{NewShare("w-1", 5, 5)}}))
	for _, eff := range out {
		if cr, ok := eff.(Credits); ok {
			ho.Step(2, NewUsage("w-1", cr.Version(), 8, 0, 1))
		}
	}
	if ho.Held("w-1") != 5 {
		t.Fatalf("holds %d credits, want 5", ho.Held("w-1"))
	}
	return ho
}

// Guards against a delayed grant that restores credits which the holder returned
// after the lender sent the grant.
func TestGrantForEarlierReportIsIgnored(t *testing.T) {
	ho := holderWithCredits(t)
	number := ho.reportNumber
	ho.Step(model.Instant(time.Second), Tick{})
	if ho.reportNumber <= number {
		t.Fatal("holder sent no report after the renewal interval")
	}
	out := ho.Step(model.Instant(time.Second), NewGrant(GrantSpec{
		VM: "vm-1", Boot: 1, Term: 1, Number: number, Sequence: 9, Shares: []Share{NewShare("w-1", 8, 8)},
	}))
	if len(out) != 0 || ho.Held("w-1") != 5 {
		t.Errorf("delayed grant gave effects %v and %d credits, want none and 5", out, ho.Held("w-1"))
	}
}

// Guards against a holder that returns credits while the routing machine still
// enforces the former, higher limit.
func TestCreditsStayHeldUntilLimitIsConfirmed(t *testing.T) {
	ho := holderWithCredits(t)
	out := ho.Step(3, NewGrant(GrantSpec{
		VM: "vm-1", Boot: 1, Term: 1, Number: ho.reportNumber, Sequence: 2, Shares: []Share{NewShare("w-1", 5, 2)},
	}))
	var lowered Credits
	for _, eff := range out {
		if cr, ok := eff.(Credits); ok {
			lowered = cr
		}
	}
	if lowered.Limit() != 2 {
		t.Fatalf("limit %d, want 2", lowered.Limit())
	}
	ho.Step(4, NewUsage("w-1", lowered.Version()-1, 8, 0, 1))
	if ho.Held("w-1") != 5 {
		t.Errorf("usage under the old limit lowered the credits held to %d", ho.Held("w-1"))
	}
	ho.Step(5, NewUsage("w-1", lowered.Version(), 8, 3, 1))
	if ho.Held("w-1") != 3 {
		t.Errorf("holds %d credits with 3 in use under a limit of 2, want 3", ho.Held("w-1"))
	}
}

// Guards against a lender that counts a report of an earlier term: until the
// holder has received the new term, it can still accept a grant of the former
// leader.
func TestReportOfFormerTermIsNotCounted(t *testing.T) {
	var le Lender
	le.Step(0, NewLeadership(2, model.Instant(time.Second), []model.VMID{"vm-1"}))
	out := le.Step(1, NewReport(ReportSpec{
		VM: "vm-1", Boot: 1, Term: 1, Number: 4, Full: true, Uptime: time.Hour, Claims: []Claim{NewClaim("w-1", 8, 3, 3)},
	}))
	if len(out) != 1 || !out[0].(Grant).Spec().Resync || !le.Collecting(1) {
		t.Errorf("got %v, want a request for a full report", out)
	}
}

// Guards against a holder that accepts a grant of a former leader after it has
// received the term of the next leader.
func TestGrantOfFormerTermIsIgnored(t *testing.T) {
	ho := holderWithCredits(t)
	ho.Step(3, NewGrant(GrantSpec{VM: "vm-1", Boot: 1, Term: 2, Number: ho.reportNumber, Resync: true}))
	ho.Step(4, NewGrant(GrantSpec{
		VM: "vm-1", Boot: 1, Term: 1, Number: ho.reportNumber, Sequence: 9, Shares: []Share{NewShare("w-1", 8, 8)},
	}))
	if ho.Held("w-1") != 5 {
		t.Errorf("holds %d credits, want 5", ho.Held("w-1"))
	}
}

// Guards against a VM without load that gets no credit for its next request
// while another VM wants all the others. TestSlotsNeverExceeded reaches this case
// with seed 97288.
func TestVMWithoutLoadKeepsOneCredit(t *testing.T) {
	var le Lender
	le.Step(0, NewLeadership(1, model.Instant(time.Second), nil))
	for i, wanted := range []int{0, 7, 1} {
		vm := model.VMID([]string{"vm-1", "vm-2", "vm-3"}[i])
		le.Step(1, NewReport(ReportSpec{
			VM: vm, Boot: 1, Term: 1, Number: 1, Full: true, Claims: []Claim{NewClaim("w-1", 8, 0, wanted)},
		}))
	}
	// vm-1 was granted all slots and returns them.
	le.Step(2, NewReport(ReportSpec{
		VM: "vm-1", Boot: 1, Term: 1, Number: 2, Ack: 3, Claims: []Claim{NewClaim("w-1", 8, 0, 0)},
	}))
	for _, vm := range []model.VMID{"vm-1", "vm-2", "vm-3"} {
		if got := le.Granted(vm, "w-1"); got < 1 {
			t.Errorf("%s has %d credits, want at least 1", vm, got)
		}
	}
}
