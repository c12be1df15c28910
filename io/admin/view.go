package admin

import (
	"guavarail/core/centre"
	"guavarail/core/health"
	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/io/rest"
)

// maxTasksShown is the largest number of tasks in the answer about one job.
const maxTasksShown = 200

// CentreView reads the jobs and workers of one data centre in their API form. Only
// the actor that owns the state may use it.
type CentreView struct {
	centre model.CentreID
	now    model.Instant
	tasks  *sched.State
	leader *centre.Leader
}

var _ CentreReader = CentreView{}

// NewCentreView returns a view of the replicated state sta and of state that only
// the leader has, such as wait reasons and worker health. now is the time to which
// wait reasons refer.
func NewCentreView(name model.CentreID, now model.Instant, sta *sched.State, leader *centre.Leader) CentreView {
	return CentreView{centre: name, now: now, tasks: sta, leader: leader}
}

// Jobs returns all jobs without their tasks.
func (cv CentreView) Jobs() []rest.Job {
	var out []rest.Job
	for _, jv := range cv.tasks.Jobs() {
		out = append(out, cv.job(jv))
	}
	return out
}

// Job returns one job with its first maxTasksShown tasks, and false if there is no
// such job.
func (cv CentreView) Job(id model.JobID) (rest.Job, bool) {
	jv, ok := cv.tasks.Job(id)
	if !ok {
		return rest.Job{}, false
	}
	out := cv.job(jv)
	wr := cv.leader.WaitReason(cv.now, id)
	for i := range min(jv.Spec().Tasks, maxTasksShown) {
		if tv, ok := cv.tasks.Task(model.NewTaskID(id, i)); ok {
			task := cv.task(i, tv)
			if tv.State() == sched.Waiting && wr != sched.NoReason {
				task.Reason = wr.String()
			}
			out.Tasks = append(out.Tasks, task)
		}
	}
	out.MoreTasks = jv.Spec().Tasks - len(out.Tasks)
	return out, true
}

func (cv CentreView) job(jv sched.JobView) rest.Job {
	spec := jv.Spec()
	out := rest.Job{
		ID: string(spec.ID), Centre: string(cv.centre), Team: string(spec.Team), Priority: spec.Priority.String(),
		Kind: spec.Kind, State: jv.State().String(), Size: rest.NewResources(spec.Size), RunTimeMs: spec.RunTime.Milliseconds(),
		Counts: rest.Counts{
			Waiting: jv.Count(sched.Waiting), Starting: jv.Count(sched.Starting), Running: jv.Count(sched.Running),
			Stopping: jv.Count(sched.Stopping), Finished: jv.Count(sched.Finished), Failed: jv.Count(sched.Failed),
			Cancelled: jv.Count(sched.Cancelled),
		},
	}
	if jv.Reason() != sched.NoReason {
		out.Reason = jv.Reason().String()
	}
	return out
}

func (cv CentreView) task(index int, tv sched.TaskView) rest.Task {
	out := rest.Task{
		Index: index, State: tv.State().String(), Attempt: uint32(tv.Attempt()), Worker: string(tv.Worker()),
		Size: rest.NewResources(tv.Size()), Borrowed: tv.Borrowed(), Checkpoint: restCheckpoint(tv.Checkpoint()),
	}
	if tv.Reason() != sched.NoReason {
		out.Reason = tv.Reason().String()
	}
	for i, his := range tv.History() {
		ent := rest.HistoryEntry{Kind: his.Kind().String(), Attempt: uint32(his.Attempt()), Worker: string(tv.HistoryWorker(i))}
		if his.Reason() != sched.NoReason {
			ent.Reason = his.Reason().String()
		}
		out.History = append(out.History, ent)
	}
	return out
}

// Workers returns all registered workers.
func (cv CentreView) Workers() []rest.Worker {
	var out []rest.Worker
	for _, wv := range cv.tasks.Workers() {
		row := rest.Worker{
			Name: string(wv.ID()), Centre: string(cv.centre), Rack: wv.Rack(), State: "ready",
			Size: rest.NewResources(wv.Size()), Committed: rest.NewResources(wv.Committed()), Tasks: wv.Tasks(),
		}
		row.State, row.Reason = workerState(cv.leader.Worker(wv.ID()))
		out = append(out, row)
	}
	return out
}

// workerState returns the API state of a worker, and why it gets fewer tasks than
// others or none; the reason is empty for a ready worker.
func workerState(ws sched.WorkerState) (state, reason string) {
	switch {
	case ws.Silent():
		return "unresponsive", "it has not reported for 3 s"
	case ws.Standing() == health.Quarantined:
		return "quarantined", "tasks failed here and ran elsewhere"
	case ws.Standing() == health.OnProbation:
		return "probation", "it gets one task, whose outcome decides"
	}
	return "ready", ""
}
