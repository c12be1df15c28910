package flow

import (
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
)

const (
	// maxBody bounds the text that each start of a task carries, in bytes.
	maxBody = 4000
	// maxTasks bounds the tasks of one run of a job.
	maxTasks = 20_000
	// maxSteps bounds the steps of a job.
	maxSteps = 200
	// maxRepetitions bounds the occurrences of a job that repeats.
	maxRepetitions = 10_000
)

// StepSpec describes the equal tasks of one step.
type StepSpec struct {
	Tasks int
	// Size is what each task needs. The processors of a Filler are not counted.
	Size model.Resources
	// Estimate is the declared duration of a task, often far off; 0 means unknown.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all have succeeded.
	After []int
	// Checkpoints says that the tasks resume from a checkpoint.
	Checkpoints bool
	// Gang says that the tasks only run together, and OneRack that they are
	// faster on a single rack.
	Gang, SameRack bool
	// RequiredLabel is one that the worker must have; Rack is where the data is.
	RequiredLabel, DataRack string
	// PerWorker bounds the tasks on one worker; 0 means no bound.
	PerWorker int
	// Speculative says that several attempts of a task may run at once.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Filler tasks use the processors that others leave.
	Filler bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// TailTarget bounds the tail latency of a lasting task's own callers; 0
	// means that it has none.
	TailTarget time.Duration
	// MaxUnavailable is how many tasks of a lasting step may be down at once because
	// of orders of the system; -1 means no bound.
	MaxUnavailable int
}

// JobSpec is the input of NewJob.
type JobSpec struct {
	ID      model.JobID
	Queue   string
	Service model.ServiceID
	// Body is passed on to each task unchanged.
	Body  string
	Steps []StepSpec
	// Priority 0 goes first.
	Priority int
	// MaxFailures is the number of failures that ends the job.
	MaxFailures int
	// ObjectiveFactor and Target give the objective: Factor times the longest chain of
	// steps, and Target more.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// AcceptedMs is the wall clock of the leader when it took the job in, in
	// milliseconds since 1970.
	AcceptedMs int64
	// FirstDueMs is when the first occurrence of a repeating job is due, in
	// milliseconds since 1970; Every is the time between two and Times their
	// number. Times is 0 for a job that runs once, as soon as possible.
	FirstDueMs  int64
	Interval    time.Duration
	Repetitions int
}

// Job is what a caller submitted. It passed the check of NewJob.
type Job struct {
	spec JobSpec
	// remaining has the declared time from the start of each step to the end of
	// the longest chain that begins with it.
	remaining []time.Duration
}

// JobError reports the fields of a job that are not accepted.
type JobError struct {
	faults []model.Fault
}

// Faults returns the faults in field order.
func (err *JobError) Faults() []model.Fault { return append([]model.Fault(nil), err.faults...) }

// Error lists every fault.
func (err *JobError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.Field()+": use "+fa.Allowed())
	}
	return "job not accepted: " + strings.Join(out, "; ")
}

// NewJob checks spec as a whole and returns the job.
func NewJob(spec JobSpec) (Job, error) {
	var fas []model.Fault
	fail := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, model.NewFault(field, allowed))
		}
	}
	fail(spec.ID == "", "id", "a name")
	fail(len(spec.Body) > maxBody, "body", "at most 4000 bytes")
	fail(len(spec.Steps) == 0 || len(spec.Steps) > maxSteps, "steps", "1 to 200 steps")
	fail(spec.Repetitions < 0 || spec.Repetitions > maxRepetitions, "times", "0 to 10000")
	fail(spec.Repetitions > 0 && spec.Interval < 0, "every", "0 or more")
	total := 0
	for pos, st := range spec.Steps {
		name := "steps." + strconv.Itoa(pos)
		total += max(0, st.Tasks)
		fail(st.Tasks < 1, name+".tasks", "1 or more")
		fail(!st.Size.Valid(), name+".size", "amounts of 0 or more")
		fail(st.Estimate < 0, name+".estimate", "0 or more")
		for _, dep := range st.After {
			fail(dep < 0 || dep >= pos, name+".after", "numbers of earlier steps")
		}
	}
	fail(total > maxTasks, "tasks", "at most 20000 in all steps")
	if len(fas) > 0 {
		return Job{}, &JobError{faults: fas}
	}
	return Job{spec: spec, remaining: remainingTimes(spec.Steps)}, nil
}

// remainingTimes returns the longest declared chain from each step on.
func remainingTimes(steps []StepSpec) []time.Duration {
	tails := make([]time.Duration, len(steps))
	for pos := len(steps) - 1; pos >= 0; pos-- {
		tails[pos] += steps[pos].Estimate
		for _, dep := range steps[pos].After {
			tails[dep] = max(tails[dep], tails[pos])
		}
	}
	return tails
}

// Spec returns what the job was made from.
func (jo Job) Spec() JobSpec { return jo.spec }

// ID returns the job's name.
func (jo Job) ID() model.JobID { return jo.spec.ID }

// Chain returns the declared duration of the longest chain of steps.
func (jo Job) Chain() time.Duration {
	var most time.Duration
	for _, tail := range jo.remaining {
		most = max(most, tail)
	}
	return most
}

// Objective returns the time from the acceptance in which the job should end.
func (jo Job) Objective() time.Duration {
	return time.Duration(jo.spec.ObjectiveFactor*float64(jo.Chain())) + jo.spec.ObjectiveBase
}

// longRunning reports whether the job runs until it is cancelled.
func (jo Job) longRunning() bool {
	for _, st := range jo.spec.Steps {
		if st.LongRunning {
			return true
		}
	}
	return false
}

// due returns when occurrence k is due, in milliseconds since 1970.
func (jo Job) due(k int) int64 {
	if jo.spec.Repetitions == 0 {
		return jo.spec.AcceptedMs
	}
	return jo.spec.FirstDueMs + int64(k)*jo.spec.Interval.Milliseconds()
}

// TaskID names a task: an occurrence of a job, a step and an index in it.
type TaskID struct {
	job                     model.JobID
	occurrence, step, index int
}

// NewTaskID returns the identifier of a task.
func NewTaskID(job model.JobID, occurrence, step, index int) TaskID {
	return TaskID{job: job, occurrence: occurrence, step: step, index: index}
}

// Job returns the job of the task.
func (id TaskID) Job() model.JobID { return id.job }

// Occurrence returns the repetition of the job, from 0.
func (id TaskID) Occurrence() int { return id.occurrence }

// Step returns the position of the step, from 0.
func (id TaskID) Step() int { return id.step }

// Index returns the position in the step, from 0.
func (id TaskID) Index() int { return id.index }

// String returns the four parts with dots between them.
func (id TaskID) String() string {
	buf := make([]byte, 0, len(id.job)+12)
	buf = append(buf, id.job...)
	for _, num := range [...]int{id.occurrence, id.step, id.index} {
		buf = strconv.AppendInt(append(buf, '.'), int64(num), 10)
	}
	return string(buf)
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(text string) (TaskID, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var nums [3]int
	for i := range nums {
		num, err := strconv.Atoi(parts[i+1])
		if err != nil || num < 0 {
			return TaskID{}, false
		}
		nums[i] = num
	}
	return NewTaskID(model.JobID(parts[0]), nums[0], nums[1], nums[2]), true
}

// Incarnation is one life of a worker: its name and when it started. A worker that
// restarts under its old name has a new life and runs nothing.
type Incarnation struct {
	worker model.WorkerID
	// startedAt is in milliseconds since 1970 of the worker's clock.
	startedAt int64
}

// NewIncarnation returns the life of a worker that started at born.
func NewIncarnation(worker model.WorkerID, born int64) Incarnation {
	return Incarnation{worker: worker, startedAt: born}
}

// Worker returns the name of the worker.
func (inc Incarnation) Worker() model.WorkerID { return inc.worker }

// StartedAt returns the start of the life in milliseconds since 1970.
func (inc Incarnation) StartedAt() int64 { return inc.startedAt }

// String returns the name and the start.
func (inc Incarnation) String() string {
	return string(inc.worker) + "@" + strconv.FormatInt(inc.startedAt, 10)
}
