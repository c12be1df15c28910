package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against leases that expire while heartbeats wait, when a heartbeat that arrived
// later is handled before them.
func TestLeaseOutlastsHeartbeatsOutOfOrder(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: run.Attempt}})
	heard := har.now
	har.now = har.now.Add(2 * Config{}.leaseEnd(0).Sub(0))
	har.step(Heartbeat{
		HeartbeatID: 1 << 40, Incarnation: NewIncarnation("w2", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w2",
		Size: model.NewResources(4000, 4000, 0), Arrived: har.now, ReadUntil: heard,
	})
	har.step(Tick{LeaseUntil: model.Instant(time.Hour), Posted: heard, Waiting: 1})
	if wk, pr := har.pl.findRun(run.Task, run.Attempt); wk == nil || pr.ending {
		t.Error("the run is lost while a heartbeat of its worker waits")
	}
}
