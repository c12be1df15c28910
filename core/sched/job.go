package sched

import (
	"strings"
	"time"

	"guavarail/core/model"
)

// MaxTasks is the maximum number of tasks of a job, so that one command stays
// far below the maximum frame size and one job cannot fill the memory of the
// group.
const MaxTasks = 100_000

// JobSpec holds the fields of a Job.
type JobSpec struct {
	ID       model.JobID
	Team     model.TeamID
	Priority model.Priority
	// Kind groups jobs whose tasks do the same work; sizes, run times and
	// interference are learned per kind. Empty means the job's own name.
	Kind  string
	Tasks int
	// Size is the declared size of each task.
	Size model.Resources
	// RunTime is the declared run time of a task; 0 means unknown.
	RunTime time.Duration
}

// Job is a valid job as submitted. NewJob makes it.
type Job struct {
	spec JobSpec
}

// JobError lists the invalid fields of a job.
type JobError struct {
	faults []model.Fault
}

// Faults returns the invalid fields in the order of JobSpec.
func (err *JobError) Faults() []model.Fault { return append([]model.Fault(nil), err.faults...) }

// Error lists every invalid field with the values that it allows.
func (err *JobError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.Field()+": use "+fa.Allowed())
	}
	return "job not accepted: " + strings.Join(out, "; ")
}

// NewJob validates all fields of spec and returns the job, or a *JobError.
func NewJob(spec JobSpec) (Job, error) {
	var fas []model.Fault
	fail := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, model.NewFault(field, allowed))
		}
	}
	fail(!model.ValidName(string(spec.ID)), "id", model.NameAllowed)
	fail(!model.ValidName(string(spec.Team)), "team", model.NameAllowed)
	fail(spec.Priority > model.Urgent, "priority", "batch, service or urgent")
	fail(spec.Kind != "" && !model.ValidName(spec.Kind), "kind", model.NameAllowed)
	fail(spec.Tasks < 1 || spec.Tasks > MaxTasks, "tasks", "1 to 100000")
	fail(!packable(spec.Size) || spec.Size.MilliCPU() == 0, "size", "milliCpu of 1 or more and other amounts of 0 or more, below 2147483648")
	fail(spec.RunTime < 0, "runTimeMs", "0 or more")
	if len(fas) > 0 {
		return Job{}, &JobError{faults: fas}
	}
	if spec.Kind == "" {
		spec.Kind = string(spec.ID)
	}
	return Job{spec: spec}, nil
}

// Spec returns the fields of the job.
func (jo Job) Spec() JobSpec { return jo.spec }

// ID returns the job's name.
func (jo Job) ID() model.JobID { return jo.spec.ID }
