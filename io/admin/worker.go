package admin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/io/rest"
)

// attemptStates maps the attempt states in worker reports to those of the scheduler.
// An attempt that the scheduler calls errored is "failed" in the API.
var attemptStates = map[string]sched.AttemptState{
	"running":   sched.AttemptRunning,
	"succeeded": sched.AttemptSucceeded,
	"failed":    sched.AttemptErrored,
	"stopped":   sched.AttemptStopped,
	"rejected":  sched.AttemptRejected,
}

func (ta *tasksAPI) report(ctx context.Context, _ *http.Request, body rest.WorkerReport) (rest.WorkerOrders, error) {
	rep, fas := reportSpec(body)
	if len(fas) > 0 {
		return rest.WorkerOrders{}, &FaultsError{faults: fas}
	}
	ans, err := ta.por.Tasks.Report(ctx, rep)
	if err != nil {
		return rest.WorkerOrders{}, err
	}
	return workerOrders(ans), nil
}

// reportSpec converts the API form of a worker's report. It returns the invalid
// fields too; if there are any, the report must not be used.
func reportSpec(body rest.WorkerReport) (sched.ReportSpec, []rest.Fault) {
	var fas []rest.Fault
	rejectIf := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, rest.Fault{Field: field, Allowed: allowed})
		}
	}
	rejectIf(!model.ValidName(body.Worker), "worker", model.NameAllowed)
	rejectIf(!model.ValidName(body.Rack), "rack", model.NameAllowed)
	rejectIf(!body.Size.Model().Valid(), "size", "amounts of 0 or more")
	rep := sched.ReportSpec{
		Worker: model.WorkerID(body.Worker), Rack: body.Rack, Size: body.Size.Model(), Tag: body.Tag,
	}
	for i, att := range body.Attempts {
		field := "attempts." + strconv.Itoa(i)
		task, ok := parseTask(att.Task)
		rejectIf(!ok, field+".task", "JOB/INDEX")
		sta, known := attemptStates[att.State]
		rejectIf(!known, field+".state", "running, succeeded, failed, stopped or rejected")
		spec := sched.AttemptSpec{
			Task: task, Attempt: model.Attempt(att.Attempt), State: sta,
			UsageAge:   time.Duration(att.UsageAgeMs) * time.Millisecond,
			Checkpoint: schedCheckpoint(att.Checkpoint), ResumedFrom: schedCheckpoint(att.Resumed),
		}
		if att.Usage != nil {
			spec.Usage = att.Usage.Model()
			rejectIf(!spec.Usage.Valid(), field+".usage", "amounts of 0 or more")
		}
		rep.Attempts = append(rep.Attempts, sched.NewAttemptReport(spec))
	}
	return rep, fas
}

// parseTask parses a task identifier: the name of the job, a slash and the index of
// the task, such as "fleet-allocation-7/3".
func parseTask(text string) (model.TaskID, bool) {
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return model.TaskID{}, false
	}
	idx, err := strconv.Atoi(text[slash+1:])
	return model.NewTaskID(model.JobID(text[:slash]), idx), err == nil && idx >= 0
}

// schedCheckpoint converts the API form of a checkpoint. nil is the zero checkpoint.
func schedCheckpoint(cp *rest.Checkpoint) sched.Checkpoint {
	if cp == nil {
		return sched.Checkpoint{}
	}
	return sched.NewCheckpoint(model.Attempt(cp.Attempt), cp.Sequence)
}

// restCheckpoint converts a checkpoint to its API form. It returns nil for the zero
// checkpoint.
func restCheckpoint(cp sched.Checkpoint) *rest.Checkpoint {
	if cp.IsZero() {
		return nil
	}
	return &rest.Checkpoint{Attempt: uint32(cp.Attempt()), Sequence: cp.Sequence()}
}

// workerOrders converts the answer to a report to its API form.
func workerOrders(ans sched.Answer) rest.WorkerOrders {
	out := rest.WorkerOrders{Tag: ans.Tag(), LeaseMs: sched.TaskLease.Milliseconds()}
	for _, lea := range ans.Leases() {
		out.Leases = append(out.Leases, rest.Lease{Task: lea.Task().String(), Attempt: uint32(lea.Attempt())})
	}
	for _, ord := range ans.Orders() {
		ro := rest.Order{
			Kind: ord.Kind().String(), Task: ord.Task().String(), Attempt: uint32(ord.Attempt()),
			IssuedAfterMs: ord.IssuedAfter().Milliseconds(), JobKind: ord.TaskKind(),
			Checkpoint: restCheckpoint(ord.Resume()), Fallback: restCheckpoint(ord.Fallback()),
			GraceMs: ord.Grace().Milliseconds(),
		}
		if ord.Kind() == sched.OrderStart {
			ro.Priority = ord.Priority().String()
		}
		if siz := ord.Size(); !siz.IsZero() {
			res := rest.NewResources(siz)
			ro.Size = &res
		}
		out.Orders = append(out.Orders, ro)
	}
	return out
}
