package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task of an exited worker that stays down for longer because a
// late heartbeat of the worker arrives after its exit and renews its lease.
func TestLateHeartbeatRenewsNoLease(t *testing.T) {
	const interval = time.Second
	tests := []struct {
		name string
		// late is how late the last heartbeat arrives, and clock what the worker's
		// clock shows at the first; 0 for a worker without a clock.
		late, clock time.Duration
		// slow is the fraction by which the clock is slow.
		slow    float64
		renewed bool
	}{
		{"on time", 0, time.Minute, 0, true},
		{"on time, slow clock", 0, time.Minute, 0.02, true},
		{"answer still awaited", 800 * time.Millisecond, time.Minute, 0, true},
		{"late", 3 * time.Second, time.Minute, 0, false},
		{"late, slow clock", 3 * time.Second, time.Minute, 0.02, false},
		{"unknown clock", 3 * time.Second, 0, 0, true},
		{"clock stood still", 8 * time.Second, time.Minute, 0, true},
	}
	for _, tt := range tests {
		har := newHarness(t)
		first := har.now
		send := func(sequence uint64) Answer {
			har.sequence++
			hb := Heartbeat{
				HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: sequence, Service: "svc", Centre: "a", Address: "w1",
				Size: model.NewResources(4000, 4000, 0),
			}
			if tt.clock > 0 {
				sent := time.Duration(sequence-1) * interval
				hb.Clock = tt.clock + time.Duration(float64(sent)/(1+tt.slow))
			}
			answers := har.step(hb)
			for len(answers) == 0 {
				har.now = har.now.Add(TickInterval)
				answers = har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
			}
			return answers[0]
		}
		for sequence := range uint64(3) {
			har.now = first.Add(time.Duration(sequence) * interval)
			if ans := send(sequence + 1); ans.LeaseDuration == 0 {
				t.Errorf("%s: heartbeat %d, on time, renews no lease", tt.name, sequence+1)
			}
		}
		leaseEnd := har.pl.workers.sorted[0].leaseEnd
		har.now = first.Add(3*interval + tt.late)
		ans := send(4)
		if renewed := har.pl.workers.sorted[0].leaseEnd > leaseEnd; renewed != tt.renewed || renewed != (ans.LeaseDuration > 0) {
			t.Errorf("%s: lease renewed %v, with %v in the answer; want %v", tt.name, renewed, ans.LeaseDuration, tt.renewed)
		}
	}
}
