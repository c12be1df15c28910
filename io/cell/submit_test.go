package cell

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/shed"
	"guavarail/io/disk"
)

// beat sends the heartbeats of a worker that starts what it is told and never ends it, until
// ctx ends, and then closes done.
func beat(ctx context.Context, lea Leader, done chan<- struct{}) {
	defer close(done)
	hb := flow.Heartbeat{Incarnation: flow.NewIncarnation("w", 1), Service: "svc", Centre: "a", Address: "w", Size: model.NewResources(2000, 2000, 0)}
	for ctx.Err() == nil {
		hb.Sequence++
		ans, err := lea.Heartbeat(ctx, hb)
		if err != nil {
			continue
		}
		for _, so := range ans.Starts {
			hb.Runs = append(hb.Runs, flow.RunReport{Task: so.Task, Attempt: so.Attempt})
		}
	}
}

// submitJob submits a job that needs the whole worker of beat for a second.
func submitJob(t *testing.T, lea Leader, id model.JobID) error {
	t.Helper()
	jo, err := flow.NewJob(flow.JobSpec{
		ID: id, Service: "svc", ObjectiveFactor: 1.5, AcceptedMs: time.Now().UnixMilli(),
		Steps: []flow.StepSpec{{Tasks: 1, Size: model.NewResources(2000, 1000, 0), Estimate: time.Second}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = lea.Submit(ctx, jo, "a")
	return err
}

// Guards against a refused job that is submitted all the same, and against the refusal of
// one that the leader has or is proposing, whose caller may have missed the answer.
func TestRefusalHasNoEffect(t *testing.T) {
	vm, stop, err := newVM(cellSettings(t, "admission = yes"), hclog.NewNullLogger(), disk.OS{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	lea, _ := vm.AsLeader()
	configure(t, lea, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go beat(ctx, lea, done)
	defer func() {
		cancel()
		<-done
	}()
	var refused *RefusedError
	accepted := []model.JobID{}
	id := model.JobID("")
	for end := time.Now().Add(time.Minute); refused == nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no job refused, %d accepted", len(accepted))
		}
		id = model.JobID(fmt.Sprint("job", len(accepted)))
		if err := submitJob(t, lea, id); err == nil {
			accepted = append(accepted, id)
		} else if !errors.As(err, &refused) {
			t.Fatal(err)
		}
	}
	if refused.RetryAfter() < shed.MinRetry || refused.RetryAfter() > shed.MaxRetry {
		t.Errorf("return after %v", refused.RetryAfter())
	}
	known, err := View(ctx, lea, func(sta *cell.State) bool {
		_, _, ok := sta.Jobs().Status(id)
		return ok
	})
	if err != nil || known {
		t.Errorf("refused job: known %v, error %v", known, err)
	}
	for _, id := range accepted {
		if err := submitJob(t, lea, id); err != nil {
			t.Errorf("%s, submitted again: %v", id, err)
		}
	}
	mem := vm.member.Load()
	mem.ref.Do(func(model.Instant, quorum.Role, *cell.State) { mem.submissions.begin(id) })
	if err := submitJob(t, lea, id); err != nil {
		t.Errorf("job that is being proposed: %v", err)
	}
}
