package flow

import (
	"math"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against numbers of one heartbeat that spoil sums and estimates for all workers.
func TestHeartbeatWithNumbersOutOfRangeIsNotAccepted(t *testing.T) {
	sound := func() *Heartbeat {
		hb := soundHeartbeat()
		hb.Runs = []RunReport{{Task: NewTaskID("job", 0, 0, 0), Attempt: 3, Percent: fullPace, Reading: 1e6}}
		hb.Ended = []EndReport{{Number: 1, Task: NewTaskID("job", 0, 0, 1), Attempt: 1}}
		return hb
	}
	leaving := sound()
	leaving.Draining, leaving.Remaining, leaving.WarmUp = true, -time.Second, -time.Second
	for _, hb := range []*Heartbeat{sound(), leaving} {
		if err := hb.Check(); err != nil {
			t.Fatal(err)
		}
	}
	for name, spoil := range map[string]func(hb *Heartbeat){
		"processors":        func(hb *Heartbeat) { hb.Size = model.NewResources(math.MaxInt64, 1, 0) },
		"memory":            func(hb *Heartbeat) { hb.Size = model.NewResources(1, math.MaxInt64/2, 0) },
		"negative size":     func(hb *Heartbeat) { hb.Size = model.NewResources(-1, 1, 0) },
		"start":             func(hb *Heartbeat) { hb.Incarnation = NewIncarnation("w", math.MaxInt64) },
		"clock":             func(hb *Heartbeat) { hb.Clock = math.MaxInt64 },
		"percent":           func(hb *Heartbeat) { hb.Runs[0].Percent = 101 },
		"infinite reading":  func(hb *Heartbeat) { hb.Runs[0].Reading = math.Inf(1) },
		"undefined reading": func(hb *Heartbeat) { hb.Runs[0].Reading = math.NaN() },
		"attempt":           func(hb *Heartbeat) { hb.Ended[0].Attempt = math.MaxInt64 },
	} {
		hb := sound()
		spoil(hb)
		var hbe *HeartbeatError
		if err := hb.Check(); !errorAs(err, &hbe) || len(hbe.Faults()) != 1 {
			t.Errorf("%s: %v, want one fault", name, err)
		}
	}
}

// Guards against a worker that is rejected from some day on, though it is sound, because of
// a number that grows for as long as it is in service.
func TestHeartbeatAfterTenYearsOfServiceIsAccepted(t *testing.T) {
	const (
		service = 10 * 366 * 24 * time.Hour
		// interval is the shortest time between two heartbeats, ends or attempts. An
		// attempt takes a heartbeat for the start and one for the end.
		interval = 50 * time.Millisecond
		count    = uint64(service / interval)
	)
	hb := soundHeartbeat()
	hb.Clock, hb.Sequence = service, count
	hb.Runs = []RunReport{{Task: NewTaskID("job", 0, 0, 0), Attempt: int(count / 4), Percent: fullPace, Reading: 1e6}}
	hb.Ended = []EndReport{{Number: count, Task: NewTaskID("job", 0, 0, 1), Attempt: int(count / 4)}}
	if err := hb.Check(); err != nil {
		t.Error(err)
	}
	var fh fastestHeartbeat
	arrived := model.Instant(service)
	for _, clock := range []time.Duration{1, service, maxUptime} {
		if late := fh.lateness(arrived, clock); late != 0 {
			t.Errorf("clock %v: %v late, want 0", clock, late)
		}
	}
}

// soundHeartbeat returns a heartbeat with all fields that every worker sends.
func soundHeartbeat() *Heartbeat {
	return &Heartbeat{
		Incarnation: NewIncarnation("w", time.Now().UnixMilli()), Service: "svc", Centre: "a", Address: "w:80", Version: "v1", Labels: []string{"a", "r1"}, Rack: "r1",
		Size: model.NewResources(32_000, 125_000, 8), Clock: 90 * 24 * time.Hour,
	}
}

// Guards against a message of another writer that lacks fields and counts as a new worker,
// so that the worker at its address loses its runs while they go on.
func TestHeartbeatWithMissingFieldsIsNotAccepted(t *testing.T) {
	for name, spoil := range map[string]func(hb *Heartbeat){
		"worker":     func(hb *Heartbeat) { hb.Incarnation = NewIncarnation("", 1) },
		"start":      func(hb *Heartbeat) { hb.Incarnation = NewIncarnation("w", 0) },
		"service":    func(hb *Heartbeat) { hb.Service = "" },
		"centre":     func(hb *Heartbeat) { hb.Centre = "" },
		"address":    func(hb *Heartbeat) { hb.Address = "" },
		"version":    func(hb *Heartbeat) { hb.Version = "" },
		"labels":     func(hb *Heartbeat) { hb.Labels = nil },
		"size":       func(hb *Heartbeat) { hb.Size = model.Resources{} },
		"processors": func(hb *Heartbeat) { hb.Size = model.NewResources(0, 125_000, 0) },
		"memory":     func(hb *Heartbeat) { hb.Size = model.NewResources(32_000, 0, 0) },
	} {
		hb := soundHeartbeat()
		spoil(hb)
		var hbe *HeartbeatError
		if err := hb.Check(); !errorAs(err, &hbe) || len(hbe.Faults()) != 1 {
			t.Errorf("%s: %v, want one fault", name, err)
		}
	}
	hb := soundHeartbeat()
	hb.Labels, hb.Clock, hb.Draining = []string{}, 0, true
	if err := hb.Check(); err != nil {
		t.Errorf("draining worker without labels, clock and runs: %v", err)
	}
}

// errorAs reports whether err is a *HeartbeatError and stores it.
func errorAs(err error, target **HeartbeatError) bool {
	hbe, ok := err.(*HeartbeatError)
	*target = hbe
	return ok
}

// Guards against jobs whose numbers overflow in sums and times.
func TestJobWithNumbersOutOfRangeIsNotAccepted(t *testing.T) {
	sound := func() JobSpec {
		return JobSpec{ID: "job", Service: "svc", ObjectiveFactor: 2, Steps: []StepSpec{{Tasks: 2, Size: model.NewResources(64_000_000, 1, 0), Estimate: 48 * time.Hour}}}
	}
	if _, err := NewJob(sound()); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(spec *JobSpec){
		"processors":  func(spec *JobSpec) { spec.Steps[0].Size = model.NewResources(math.MaxInt64, 1, 0) },
		"estimate":    func(spec *JobSpec) { spec.Steps[0].Estimate = math.MaxInt64 },
		"tail target": func(spec *JobSpec) { spec.Steps[0].TailTarget = math.MaxInt64 },
		"interval":    func(spec *JobSpec) { spec.Repetitions, spec.Interval = 3, math.MaxInt64 },
		"first due":   func(spec *JobSpec) { spec.FirstDueMs = math.MaxInt64 },
		"tasks": func(spec *JobSpec) {
			spec.Steps = []StepSpec{{Tasks: math.MaxInt64}, {Tasks: math.MaxInt64}, {Tasks: 3}}
		},
	} {
		spec := sound()
		spoil(&spec)
		if _, err := NewJob(spec); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	spec := sound()
	spec.ObjectiveFactor, spec.ObjectiveBase = 1e300, math.MaxInt64
	jo, err := NewJob(spec)
	if err != nil || jo.Objective() <= 0 {
		t.Errorf("objective %v, %v, want more than 0", jo.Objective(), err)
	}
}
