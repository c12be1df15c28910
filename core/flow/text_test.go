package flow

import (
	"strings"
	"testing"

	"guavarail/core/model"
)

// notUTF8 is a text that the log cannot hold.
const notUTF8 = "\xff\xfe"

// Guards against a text of a worker that no proposal can hold, so that nothing starts.
func TestHeartbeatWithTextThatIsNotUTF8IsNotAccepted(t *testing.T) {
	for name, spoil := range map[string]func(hb *Heartbeat){
		"worker": func(hb *Heartbeat) { hb.Incarnation = NewIncarnation(notUTF8, 1) },
		"long worker": func(hb *Heartbeat) {
			hb.Incarnation = NewIncarnation(model.WorkerID(strings.Repeat("w", maxName+1)), 1)
		},
		"service":      func(hb *Heartbeat) { hb.Service = notUTF8 },
		"centre":       func(hb *Heartbeat) { hb.Centre = notUTF8 },
		"address":      func(hb *Heartbeat) { hb.Address = notUTF8 },
		"rack":         func(hb *Heartbeat) { hb.Rack = notUTF8 },
		"label":        func(hb *Heartbeat) { hb.Labels = []string{"a", notUTF8} },
		"run":          func(hb *Heartbeat) { hb.Runs[0].Task.job = notUTF8 },
		"checkpoint":   func(hb *Heartbeat) { hb.Runs[0].Checkpoint = notUTF8 },
		"end":          func(hb *Heartbeat) { hb.Ended[0].Task.job = notUTF8 },
		"end with one": func(hb *Heartbeat) { hb.Ended[0].Checkpoint = notUTF8 },
	} {
		hb := soundHeartbeat()
		hb.Runs, hb.Ended = []RunReport{{Task: NewTaskID("job", 0, 0, 0)}}, []EndReport{{Number: 1, Task: NewTaskID("job", 0, 0, 1)}}
		if err := hb.Check(); err != nil {
			t.Fatal(err)
		}
		spoil(hb)
		var hbe *HeartbeatError
		if err := hb.Check(); !errorAs(err, &hbe) || len(hbe.Faults()) != 1 {
			t.Errorf("%s: %v, want one fault", name, err)
		}
	}
}

// Guards against a job that is accepted and cannot be stored.
func TestJobWithTextThatIsNotUTF8IsNotAccepted(t *testing.T) {
	for name, spoil := range map[string]func(spec *JobSpec){
		"id":      func(spec *JobSpec) { spec.ID = notUTF8 },
		"long id": func(spec *JobSpec) { spec.ID = model.JobID(strings.Repeat("j", maxID+1)) },
		"queue":   func(spec *JobSpec) { spec.Queue = notUTF8 },
		"service": func(spec *JobSpec) { spec.Service = notUTF8 },
		"body":    func(spec *JobSpec) { spec.Body = notUTF8 },
		"label":   func(spec *JobSpec) { spec.Steps[0].RequiredLabel = notUTF8 },
		"rack":    func(spec *JobSpec) { spec.Steps[0].DataRack = notUTF8 },
		"image":   func(spec *JobSpec) { spec.Steps[0].Image = notUTF8 },
	} {
		spec := JobSpec{ID: "job", Queue: "queue", Service: "svc", Body: "body", Steps: []StepSpec{{Tasks: 1}}}
		if _, err := NewJob(spec); err != nil {
			t.Fatal(err)
		}
		spoil(&spec)
		if _, err := NewJob(spec); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against one operation that the log cannot hold and that keeps all others from being
// stored, or is proposed again and again.
func TestDroppedOperationsLeaveTheOthers(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("odd", nil)
	har.holding = true
	har.submit("job", StepSpec{Tasks: 2, Size: model.NewResources(1000, 100, 0)})
	if len(har.held) != 1 || len(har.held[0].Ops) != 2 {
		t.Fatalf("proposals %+v, want one with two starts", har.held)
	}
	dropped := har.held[0].Ops
	har.holding, har.held = false, nil
	har.step(ProposalEnded{Term: har.term, Applied: true, Dropped: dropped})
	ans := har.heartbeat("sound", nil)
	if len(ans.Starts) != 2 || ans.Starts[0].Attempt != 1 {
		t.Errorf("starts %+v on the other worker, want the first attempts of both tasks", ans.Starts)
	}
	if ans := har.heartbeat("odd", nil); len(ans.Starts) > 0 {
		t.Errorf("starts %+v on the worker that the log cannot hold", ans.Starts)
	}
}

// Guards against the end of a run that is never stored, because the log cannot hold its
// checkpoint.
func TestEndIsStoredWithoutADroppedCheckpoint(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Checkpoints: true})
	run := har.heartbeat("w1", nil).Starts[0]
	har.holding = true
	har.sequence++
	hb := endOfRun(har.sequence, run)
	hb.Ended[0].Checkpoint = "point"
	har.step(hb)
	dropped := har.held[0].Ops
	har.holding, har.held = false, nil
	har.step(ProposalEnded{Term: har.term, Applied: true, Dropped: dropped})
	if jb := har.st.jobs["job"]; jb.status != Completed {
		t.Errorf("the job is %v, want completed", jb.status)
	}
}
