package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a preemption that stops what must not be stopped: runs of the
// same or of a higher priority, long-running tasks and gangs.
func TestPreemptionSparesOtherRuns(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		change   func(sp *StepSpec)
		stopped  bool
	}{
		{"lower priority", 2, func(*StepSpec) {}, true},
		{"same priority", 1, func(*StepSpec) {}, false},
		{"higher priority", 0, func(*StepSpec) {}, false},
		{"long-running", 2, func(sp *StepSpec) { sp.LongRunning = true }, false},
		{"gang", 2, func(sp *StepSpec) { sp.Gang = true }, false},
	}
	for _, tt := range tests {
		held := StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)}
		tt.change(&held)
		clu := newCluster(t, 1, 2)
		clu.submitJob("lost", 1, 0, StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true})
		clu.play(time.Second, func() {})
		clu.submitJob("held", tt.priority, time.Minute, held)
		clu.play(time.Second, func() {})
		if clu.runs("held") != 1 || clu.runs("lost") != 1 {
			t.Fatalf("%s: running %v", tt.name, clu.running)
		}
		clu.lose(clu.running[NewTaskID("lost", 0, 0, 0)])
		clu.play(maxDown, func() {})
		if stopped := clu.runs("held") == 0; stopped != tt.stopped {
			t.Errorf("%s: stopped %v, want %v", tt.name, stopped, tt.stopped)
		}
	}
}

// Guards against a claim on a worker that may not run the task, which keeps its
// capacity from those that may use it.
func TestClaimsAreMadeOnEligibleWorkers(t *testing.T) {
	tests := []struct {
		name   string
		change func(hb *Heartbeat)
		wait   time.Duration
		claims int
	}{
		{"eligible", func(*Heartbeat) {}, 0, 1},
		{"draining", func(hb *Heartbeat) { hb.Draining = true }, 0, 0},
		{"other service", func(hb *Heartbeat) { hb.Service = "other" }, 0, 0},
		{"data centre out of service", func(hb *Heartbeat) { hb.Centre = "out" }, 0, 0},
		{"label missing", func(hb *Heartbeat) { hb.Labels = nil }, 0, 0},
		{"silent", func(*Heartbeat) {}, 2 * maxHeartbeatAge, 0},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.step(Outage{Centres: map[model.CentreID]bool{"out": true}})
		hb := Heartbeat{
			HeartbeatID: 1, Incarnation: NewIncarnation("w1", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w1", Labels: []string{"fast"},
			Size: model.NewResources(4000, 4000, 0),
		}
		tt.change(&hb)
		har.step(hb)
		har.now = har.now.Add(tt.wait)
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		jo, err := NewJob(JobSpec{ID: "job", Service: "svc", Steps: []StepSpec{
			{Tasks: 1, Size: model.NewResources(4000, 100, 0), LongRunning: true, RequiredLabel: "fast"},
		}})
		if err != nil {
			t.Fatal(err)
		}
		har.st.Apply(Submit(jo))
		jb := har.st.jobs["job"]
		rs := &readyStep{job: jb, occ: jb.occurrence(0), spec: &jb.spec.Steps[0], restart: true, waitingSince: har.now}
		candidates, _ := har.pl.claimCandidates(har.now, rs, NewTaskID("job", 0, 0, 0))
		if made, _ := har.pl.claimRoom(har.now, rs, candidates, 1); made != tt.claims {
			t.Errorf("%s: %d claims, want %d", tt.name, made, tt.claims)
		}
	}
}

// Guards against a lost task that waits for good for a worker which doesn't carry
// out the stop orders of a preemption.
func TestPreemptionOnAWorkerThatHangsIsRepeatedElsewhere(t *testing.T) {
	const maxDown = 12 * time.Second
	for seed := range uint64(4) {
		clu := newCluster(t, seed, 4)
		clu.hangs = 1
		clu.submitJob("lost", 0, 0, StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true})
		clu.play(time.Second, func() {})
		clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
		clu.play(3*time.Second, func() {})
		clu.lose(clu.running[NewTaskID("lost", 0, 0, 0)])
		lost := clu.now
		for clu.runs("lost") == 0 && clu.now.Sub(lost) < 2*maxDown {
			clu.play(TickInterval, func() {})
		}
		if down := clu.now.Sub(lost); down > maxDown || clu.hangs > 0 {
			t.Errorf("seed %d: down for %v, want at most %v, and %d workers still to hang", seed, down, maxDown, clu.hangs)
		}
	}
}
