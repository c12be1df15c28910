package flow

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a job that runs although it was cancelled, because the submission arrived
// after the cancellation.
func TestJobCancelledBeforeItsSubmissionIsNotAccepted(t *testing.T) {
	const cancelledMs = 1_700_000_000_000
	submit := func(id model.JobID, owner model.WorkspaceID, after time.Duration) Op {
		jo, err := NewJob(JobSpec{ID: id, Workspace: owner, AcceptedMs: cancelledMs + after.Milliseconds(), Steps: []StepSpec{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		return Submit(jo)
	}
	cancel := CancelAs("j", NewCaller("a")).At(cancelledMs)
	for _, tt := range []struct {
		name   string
		cancel Op
		submit Op
		want   Verdict
	}{
		{"late submission", cancel, submit("j", "a", 6*time.Second), Withdrawn},
		{"clock of the next leader behind", cancel, submit("j", "a", -time.Minute), Withdrawn},
		{"without keys", Cancel("j").At(cancelledMs), submit("j", "", time.Second), Withdrawn},
		{"another job", cancel, submit("i", "a", time.Second), Accepted},
		{"another workspace", cancel, submit("j", "b", time.Second), Accepted},
		{"long after", cancel, submit("j", "a", withdrawalRetention+time.Millisecond), Accepted},
		{"cancelled through a leader of an earlier version", CancelAs("j", NewCaller("a")), submit("j", "a", time.Second), Accepted},
	} {
		var st, restored State
		if got := st.Apply(tt.cancel); got != UnknownJob {
			t.Errorf("%s: cancellation %v, want that the job is unknown", tt.name, got)
		}
		restored.Restore(st.Snapshot())
		for _, sta := range []*State{&st, &restored} {
			if got := sta.Apply(tt.submit); got != tt.want {
				t.Errorf("%s: submission %v, want %v", tt.name, got, tt.want)
			}
			if _, _, known := sta.Status(tt.submit.ID()); known != (tt.want == Accepted) {
				t.Errorf("%s: job known %v", tt.name, known)
			}
		}
	}
}

// Guards against a second cancellation that is not kept because the first one was.
func TestJobIsWithdrawnAgainAfterTheFirstCancellationIsOutdated(t *testing.T) {
	var st State
	const againMs = 1 + 10*int64(withdrawalRetention/time.Millisecond)
	st.Apply(Cancel("j").At(1))
	st.Apply(Cancel("j").At(againMs))
	jo, err := NewJob(JobSpec{ID: "j", AcceptedMs: againMs + 1, Steps: []StepSpec{{Tasks: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if got := st.Apply(Submit(jo)); got != Withdrawn {
		t.Errorf("submission %v, want %v", got, Withdrawn)
	}
}

// Guards against cancellations of unknown jobs that fill the memory.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	var st State
	for num := range 2 * maxWithdrawals {
		st.Apply(Cancel(model.JobID(fmt.Sprint(num))).At(1))
	}
	st.Apply(Cancel(model.JobID(make([]byte, maxWithdrawnID+1))).At(1))
	if kept := len(st.withdrawals.byAge); kept != maxWithdrawals || len(st.withdrawals.atMs) != kept {
		t.Errorf("%d cancellations kept, %d by job; want %d", kept, len(st.withdrawals.atMs), maxWithdrawals)
	}
	late := Cancel("late").At(2 + withdrawalRetention.Milliseconds())
	st.Apply(late)
	if want := []Withdrawal{{Job: "late", AtMs: late.AtMs()}}; !reflect.DeepEqual(st.Snapshot().Withdrawals(), want) {
		t.Errorf("%d cancellations kept, want the last one", len(st.Snapshot().Withdrawals()))
	}
}

// Guards against cancellations of unknown jobs that fill the log with events.
func TestCancellationOfAnUnknownJobRecordsNoEvent(t *testing.T) {
	har := newHarness(t)
	har.events = nil
	har.step(har.commit(Cancel("unknown").At(1)))
	if len(har.events) > 0 {
		t.Errorf("%d events, want none", len(har.events))
	}
	har.submit("job", StepSpec{Tasks: 1})
	har.step(har.commit(Cancel("job").At(1)))
	if !slices.ContainsFunc(har.events, func(re RecordEvent) bool { return re.Kind == "jobCancelled" }) {
		t.Error("no event about the cancellation of a known job")
	}
}
