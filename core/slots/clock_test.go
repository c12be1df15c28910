package slots

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a VM whose reports are ignored until all requests of its former process must
// have ended, because its wall clock went back before a restart and the number of the new
// process is lower than that of the former one.
func TestProcessWithALowerNumberIsHeardOnceTheFormerLeaseHasEnded(t *testing.T) {
	const second = model.Instant(time.Second)
	var le Lender
	le.Step(0, NewLeadership(1, 1000*second, []model.VMID{"vm-1"}))
	// heard reports whether the lender answers a full report with a grant.
	heard := func(now model.Instant, boot, number uint64) bool {
		for _, eff := range le.Step(now, NewReport(ReportSpec{
			VM: "vm-1", Boot: boot, Term: 1, Number: number, Full: true, Uptime: time.Hour, Claims: []Claim{NewClaim("w-1", 8, 0, 4)},
		})) {
			if gr, ok := eff.(Grant); ok && gr.Spec().Boot == boot && !gr.Spec().Resync {
				return true
			}
		}
		return false
	}
	lastReport := 2 * second
	if !heard(second, 100, 1) || !heard(lastReport, 100, 2) {
		t.Fatal("the first process is not heard")
	}
	if heard(lastReport.Add(Lease), 50, 1) {
		t.Error("a late report of an earlier process is heard before the lease has ended")
	}
	restarted := lastReport.Add(model.WithDrift(Lease))
	if !heard(restarted, 50, 2) || !heard(restarted.Add(Lease), 50, 3) {
		t.Error("a process with a lower number is not heard after the former lease has ended")
	}
	if !heard(restarted.Add(2*Lease), 100, 3) {
		t.Error("the former process is not heard if it was only silent")
	}
}
