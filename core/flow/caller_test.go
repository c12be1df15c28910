package flow

import (
	"testing"

	"guavarail/core/model"
)

// Guards against a job of one workspace that another one cancels or takes over, also if the
// identifier was submitted again after the caller's access was checked, and against an
// accepted job to which nobody has access.
func TestJobsBelongToTheirWorkspace(t *testing.T) {
	submit := func(owner model.WorkspaceID) Op {
		jo, err := NewJob(JobSpec{ID: "j", Workspace: owner, Steps: []StepSpec{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		return Submit(jo)
	}
	var anyone Caller
	for _, tt := range []struct {
		name  string
		owner model.WorkspaceID
		op    Op
		want  Verdict
	}{
		{"submitted again", "a", submit("a"), Repeated},
		{"submitted by another", "a", submit("b"), Foreign},
		{"submitted without a workspace", "a", submit(""), Foreign},
		{"job without a workspace submitted again", "", submit("a"), Repeated},
		{"cancelled", "a", CancelAs("j", NewCaller("a")), Accepted},
		{"cancelled by another", "a", CancelAs("j", NewCaller("b")), Foreign},
		{"cancelled without a workspace", "a", CancelAs("j", NewCaller("")), Foreign},
		{"cancelled without keys", "a", CancelAs("j", anyone), Accepted},
		{"job without a workspace cancelled", "", CancelAs("j", NewCaller("b")), Accepted},
	} {
		var st State
		st.Apply(submit(tt.owner))
		if got := st.Apply(tt.op); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		if owner, ok := st.Owner("j"); owner != tt.owner || !ok {
			t.Errorf("%s: owner %q, %v; want %q", tt.name, owner, ok, tt.owner)
		}
		if status, _, _ := st.Status("j"); tt.want != Accepted && status != Queued {
			t.Errorf("%s: status %v, want no change", tt.name, status)
		}
	}
}
