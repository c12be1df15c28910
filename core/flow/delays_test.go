package flow

import (
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a leader that delays starts and answers without a line that says so.
func TestDelaysOfTheLeaderAreRecorded(t *testing.T) {
	const queued, placed = 20 * time.Millisecond, 200 * time.Millisecond
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.now = har.now.Add(queued)
	hb := Heartbeat{
		HeartbeatID: 1, Arrived: har.now.Add(-queued), Incarnation: NewIncarnation("w1", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0),
	}
	for _, eff := range har.pl.Step(har.now, hb) {
		if prop, ok := eff.(Propose); ok {
			har.now = har.now.Add(placed)
			har.pl.Step(har.now, har.commit(prop.Ops[0]))
			har.pl.Step(har.now, ProposalEnded{Term: prop.Term, Applied: true})
		}
	}
	har.pl.Step(har.now, Tick{LeaseUntil: model.Instant(time.Hour)})
	har.now = har.now.Add(delayEventInterval)
	want := []Field{
		{"heartbeats", "1"},
		{"maxQueuedMs", "20"},
		{"proposals", "1"},
		{"commitMs", "200"},
		{"endAnswers", "0"},
		{"startOrders", "1"},
		{"startOrderMs", "200"},
	}
	for _, eff := range har.pl.Step(har.now, Tick{LeaseUntil: model.Instant(time.Hour)}) {
		rec, ok := eff.(RecordEvent)
		if !ok || rec.Kind != "leaderDelays" {
			continue
		}
		for _, fi := range want {
			if !slices.Contains(rec.Fields, fi) {
				t.Errorf("fields %v, want %v", rec.Fields, fi)
			}
		}
		return
	}
	t.Error("no event about the delays")
}
