package flow

import (
	"testing"

	"guavarail/core/model"
)

// Guards against a replica that halts after an upgrade, or forgets a job, because the job
// was accepted with amounts beyond the limits of this version.
func TestStoredJobBeyondTheLimitsIsKept(t *testing.T) {
	spec := JobSpec{ID: "job", Service: "svc", Steps: []StepSpec{{Tasks: 1, Size: model.NewResources(2*maxMilliCPU, 1, 0), Estimate: 2 * maxSpan}}}
	if _, err := NewJob(spec); err == nil {
		t.Error("accepted")
	}
	var st State
	st.Restore(Snapshot{jobs: []JobRecord{{Spec: spec}}})
	if _, _, ok := st.Status("job"); !ok {
		t.Error("the stored job is lost")
	}
}
