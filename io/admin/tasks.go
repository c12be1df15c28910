package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/io/rest"
)

const (
	// announceInterval is the time that a backend server has to wait before it
	// announces itself again.
	announceInterval = time.Second
	// stopAfterLeave is how long a backend server has to wait after its leave call
	// before it may stop: by then, no VM sends it new requests (P8).
	stopAfterLeave = 3 * time.Second
	// fanoutTimeout bounds the wait for the lists of all other data centres.
	fanoutTimeout = 2 * time.Second
	// centreParam is the query parameter that, with any value, restricts a call to
	// the data centre of the answering VM.
	centreParam = "centre"
)

// tasksAPI answers calls on jobs and workers.
type tasksAPI struct {
	por Ports
}

func (ta *tasksAPI) routes(mux *Mux) {
	Handle(mux, "GET "+rest.PathJobs, ta.listJobs)
	Handle(mux, "POST "+rest.PathJobs, ta.submit)
	Handle(mux, "GET "+rest.PathJobs+"/{id}", ta.showJob)
	Handle(mux, "POST "+rest.PathJobs+"/{id}/cancel", ta.cancel)
	Handle(mux, "GET "+rest.PathWorkers, ta.listWorkers)
	Handle(mux, "POST "+rest.PathWorkerReport, ta.report)
}

func (ta *tasksAPI) submit(ctx context.Context, _ *http.Request, body rest.JobSubmit) (rest.JobAccepted, error) {
	centre := model.CentreID(body.Centre)
	if centre != "" && centre != ta.por.Centre {
		vmi, ok := ta.por.Local.ReachableVM(centre)
		if !ok {
			return rest.JobAccepted{}, &NotFoundError{kind: "reachable data centre", name: body.Centre}
		}
		return rest.JobAccepted{}, &ForwardError{vm: vmi}
	}
	pri, ok := model.ParsePriority(body.Priority)
	if !ok {
		// A value that does not exist, so that NewJob reports the priority together
		// with the other faults.
		pri = model.Urgent + 1
	}
	job, err := sched.NewJob(sched.JobSpec{
		ID: model.JobID(body.ID), Team: model.TeamID(body.Team), Priority: pri, Kind: body.Kind, Tasks: body.Tasks,
		Size: body.Size.Model(), RunTime: time.Duration(body.RunTimeMs) * time.Millisecond,
	})
	if err != nil {
		return rest.JobAccepted{}, err
	}
	ver, err := ta.por.Tasks.Propose(ctx, sched.Submit(job))
	if err != nil {
		return rest.JobAccepted{}, err
	}
	if ver == sched.Conflict {
		return rest.JobAccepted{}, &ConflictError{kind: "job", name: body.ID}
	}
	return rest.JobAccepted{ID: body.ID, Centre: string(ta.por.Centre), Repeated: ver == sched.Repeated}, nil
}

func (ta *tasksAPI) cancel(ctx context.Context, req *http.Request, _ Empty) (rest.JobCancelled, error) {
	id := req.PathValue("id")
	if err := ta.forwardUnlessLocal(ctx, req, model.JobID(id)); err != nil {
		return rest.JobCancelled{}, err
	}
	ver, err := ta.por.Tasks.Propose(ctx, sched.Cancel(model.JobID(id)))
	if err != nil {
		return rest.JobCancelled{}, err
	}
	if ver == sched.UnknownJob {
		return rest.JobCancelled{}, &NotFoundError{kind: "job", name: id}
	}
	return rest.JobCancelled{ID: id, State: sched.Cancelled.String(), Repeated: ver != sched.Accepted}, nil
}

func (ta *tasksAPI) showJob(ctx context.Context, req *http.Request, _ Empty) (rest.Job, error) {
	id := model.JobID(req.PathValue("id"))
	if err := ta.forwardUnlessLocal(ctx, req, id); err != nil {
		return rest.Job{}, err
	}
	out, err := readTasks(ctx, ta.por.Tasks, func(rdr CentreReader) *rest.Job {
		job, ok := rdr.Job(id)
		if !ok {
			return nil
		}
		return &job
	})
	switch {
	case err != nil:
		return rest.Job{}, err
	case out == nil:
		return rest.Job{}, &NotFoundError{kind: "job", name: string(id)}
	}
	return *out, nil
}

// forwardUnlessLocal returns a ForwardError if the job exists in another data
// centre and not in this one. It returns nil for a call with centreParam, and if no
// data centre that can be reached has the job. Any other error is that of reading
// the jobs of this data centre.
func (ta *tasksAPI) forwardUnlessLocal(ctx context.Context, req *http.Request, id model.JobID) error {
	if req.URL.Query().Get(centreParam) != "" {
		return nil
	}
	exists, err := readTasks(ctx, ta.por.Tasks, func(rdr CentreReader) bool {
		_, ok := rdr.Job(id)
		return ok
	})
	if err != nil || exists {
		return err
	}
	for _, cen := range ta.por.Local.Centres() {
		vmi, ok := ta.por.Local.ReachableVM(cen)
		if !ok {
			continue
		}
		var job rest.Job
		if ta.get(ctx, vmi, rest.PathJobs+"/"+url.PathEscape(string(id)), cen, &job) == nil {
			return &ForwardError{vm: vmi}
		}
	}
	return nil
}

func (ta *tasksAPI) listJobs(ctx context.Context, req *http.Request, _ Empty) (rest.JobList, error) {
	jobs, err := readTasks(ctx, ta.por.Tasks, CentreReader.Jobs)
	if err != nil {
		return rest.JobList{}, err
	}
	out := rest.JobList{Jobs: jobs}
	if req.URL.Query().Get(centreParam) == "" {
		out.Unreachable = fanOut(ctx, ta, rest.PathJobs, func(lis rest.JobList) { out.Jobs = append(out.Jobs, lis.Jobs...) })
	}
	return out, nil
}

func (ta *tasksAPI) listWorkers(ctx context.Context, req *http.Request, _ Empty) (rest.WorkerList, error) {
	wrks, err := readTasks(ctx, ta.por.Tasks, CentreReader.Workers)
	if err != nil {
		return rest.WorkerList{}, err
	}
	out := rest.WorkerList{Workers: wrks}
	if req.URL.Query().Get(centreParam) == "" {
		out.Unreachable = fanOut(ctx, ta, rest.PathWorkers, func(lis rest.WorkerList) {
			out.Workers = append(out.Workers, lis.Workers...)
		})
	}
	return out, nil
}

// fanOut gets the list at path from one VM of every other data centre, one after
// the other, and passes each list to add. It returns the data centres that did not
// answer.
func fanOut[L any](ctx context.Context, ta *tasksAPI, path string, add func(lis L)) []string {
	ctx, cancel := context.WithTimeout(ctx, fanoutTimeout)
	defer cancel()
	var missing []string
	for _, cen := range ta.por.Local.Centres() {
		if cen == ta.por.Centre {
			continue
		}
		var lis L
		vmi, ok := ta.por.Local.ReachableVM(cen)
		if !ok || ta.get(ctx, vmi, path, cen, &lis) != nil {
			missing = append(missing, string(cen))
			continue
		}
		add(lis)
	}
	return missing
}

// get sends a GET call for the data centre cen to another VM and decodes the
// answer into out. With a hop count of 1, the call can be forwarded once more, to
// the leader of that data centre.
func (ta *tasksAPI) get(ctx context.Context, vmi model.VMID, path string, cen model.CentreID, out any) error {
	target := path + "?" + centreParam + "=" + url.QueryEscape(string(cen))
	rep, err := ta.por.Forward.Forward(ctx, vmi, Call{Method: http.MethodGet, Target: target, Hops: 1})
	if err != nil {
		return err
	}
	if rep.Status != http.StatusOK {
		return &NotFoundError{kind: "answer of", name: string(vmi)}
	}
	return json.Unmarshal(rep.Body, out)
}
