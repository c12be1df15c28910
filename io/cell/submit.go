package cell

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/shed"
	"guavarail/io/group"
	"guavarail/io/limit"
	"guavarail/io/lines"
)

// submissions has the jobs that this VM proposes as the leader and whose submission is not
// applied yet, and bounds the events about those that it refuses. The zero value is empty.
// The group's actor owns it.
type submissions struct {
	// proposed holds the jobs until their submission is applied or this VM steps down. A
	// job whose proposal has an unknown outcome stays in it.
	proposed map[model.JobID]bool
	// refusals bounds the events about refused jobs.
	refusals lines.Limiter
}

// begin adds a job that is about to be proposed.
func (sub *submissions) begin(id model.JobID) {
	if sub.proposed == nil {
		sub.proposed = map[model.JobID]bool{}
	}
	sub.proposed[id] = true
}

// applied removes the job of a submission that was applied.
func (sub *submissions) applied(op flow.Op) {
	if op.Kind() == flow.OpSubmit {
		delete(sub.proposed, op.ID())
	}
}

// Submit submits the job of a caller in a data centre and waits until that is applied. It
// submits nothing and returns a *JobMemoryError if there is no memory for the job, or a
// *RefusedError if admission control does not accept it. A job that the state has, or that
// this VM is proposing, is not refused, since its caller may have missed the answer.
func (lea Leader) Submit(ctx context.Context, jo flow.Job, centre model.CentreID) (cell.Result, error) {
	mem, err := lea.member()
	if err != nil {
		return cell.Result{}, err
	}
	if err := mem.takeMemory(ctx, jo); err != nil {
		return cell.Result{}, err
	}
	if err := mem.admit(ctx, jo, centre); err != nil {
		mem.jobMemory.End(jo.ID(), jo.Bytes(), true)
		return cell.Result{}, err
	}
	res, err := mem.ref.Propose(ctx, cell.Jobs(flow.Submit(jo)))
	mem.jobMemory.End(jo.ID(), jo.Bytes(), err == nil || hadNoEffect(err))
	if mem.vm.settings.Admission() && hadNoEffect(err) {
		mem.ref.Do(func(model.Instant, quorum.Role, *cell.State) { delete(mem.submissions.proposed, jo.ID()) })
	}
	return res, errors.Trace(err)
}

// takeMemory takes the memory of a job until jobMemory.End. Only a job without memory is
// looked up in the state.
func (mem *member) takeMemory(ctx context.Context, jo flow.Job) error {
	if mem.jobMemory.Begin(jo.ID(), jo.Bytes(), false) {
		return nil
	}
	known, err := group.ReadInTurn(ctx, mem.ref, func(_ model.Instant, _ quorum.Role, sta *cell.State) bool {
		_, _, known := sta.Jobs().Status(jo.ID())
		return known
	})
	switch {
	case err != nil:
		return errors.Trace(err)
	case !mem.jobMemory.Begin(jo.ID(), jo.Bytes(), known):
		mem.vm.budget.Count(limit.RefusedJob)
		return errors.Trace(&JobMemoryError{tooLarge: mem.jobMemory.TooLarge(jo.Bytes())})
	}
	return nil
}

// admit asks admission control, if it is on, whether to propose the submission of a job.
func (mem *member) admit(ctx context.Context, jo flow.Job, centre model.CentreID) error {
	if !mem.vm.settings.Admission() {
		return nil
	}
	de, err := group.ReadInTurn(ctx, mem.ref, func(now model.Instant, _ quorum.Role, _ *cell.State) shed.Decision {
		return mem.decide(now, jo, centre)
	})
	switch {
	case err != nil:
		return errors.Trace(err)
	case !de.Accepted():
		return errors.Trace(&RefusedError{decision: de})
	}
	return nil
}

// hadNoEffect reports whether an error says that a command was not proposed.
func hadNoEffect(err error) bool {
	var large *SizeError
	var unencodable *EncodeError
	return errors.As(err, &large) || errors.As(err, &unencodable)
}

// decide decides whether to propose the submission of a job. It runs on the group's actor.
func (mem *member) decide(now model.Instant, jo flow.Job, centre model.CentreID) shed.Decision {
	if mem.submissions.proposed[jo.ID()] {
		return shed.Accept(shed.Known)
	}
	de := mem.planner.Admit(now, jo, centre)
	admissions.Add(de.Reason().String())
	admissionTime.Add(mem.vm.clock().Sub(now))
	if de.Accepted() {
		mem.submissions.begin(jo.ID())
		return de
	}
	if suppressed, ok := mem.submissions.refusals.Allow(now); ok {
		mem.recordRefusal(jo, centre, de, suppressed)
	}
	return de
}

// recordRefusal records that a job is refused. suppressed is the number of refusals that
// were not recorded since the last one.
func (mem *member) recordRefusal(jo flow.Job, centre model.CentreID, de shed.Decision, suppressed int) {
	spec := jo.Spec()
	work, width := jo.Work()
	fis := []event.Field{
		event.NewField("reason", de.Reason().String()), event.NewField("queue", spec.Queue), event.NewField("priority", strconv.Itoa(spec.Priority)),
		event.NewField("endMs", milliseconds(de.End())), event.NewField("objectiveMs", milliseconds(jo.Objective())),
		event.NewField("workMs", milliseconds(work)), event.NewField("width", strconv.Itoa(width)), event.NewField("size", de.Class().String()),
		event.NewField("retryAfterS", strconv.Itoa(int(de.RetryAfter()/time.Second))),
	}
	if suppressed > 0 {
		fis = append(fis, event.NewField("suppressed", strconv.Itoa(suppressed)))
	}
	mem.vm.RecordEvent(event.New("jobRefused", event.Subject{Job: jo.ID(), Centre: centre}, fis...))
}
