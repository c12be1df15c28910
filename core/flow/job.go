package flow

import (
	"strconv"
	"time"
	"unicode/utf8"

	"guavarail/core/model"
)

const (
	// maxBody bounds the body of a job in bytes; every start of a task carries
	// it.
	maxBody = 4000
	// maxID bounds the identifier of a job in bytes; every order contains it.
	maxID = 256
	// maxTasks bounds the number of tasks in one occurrence of a job.
	maxTasks = 20_000
	// maxSteps bounds the number of steps of a job.
	maxSteps = 200
	// maxRepetitions bounds the number of occurrences of a job that repeats.
	maxRepetitions = 10_000
)

// StepSpec describes a step and its tasks, which are all alike.
type StepSpec struct {
	Tasks int
	// Size is what each task needs. Placement does not reserve the processors
	// of a Filler.
	Size model.Resources
	// Estimate is the declared duration of a task, 0 if unknown. It is often
	// wrong by half and more.
	Estimate time.Duration
	// After lists the indexes of earlier steps of the job that must be complete
	// before a task of this step starts.
	After []int
	// Checkpoints is set if the tasks can resume from a checkpoint.
	Checkpoints bool
	// The tasks of a Gang step must all run at the same time. SameRack is set if
	// they are faster on a single rack.
	Gang, SameRack bool
	// RequiredLabel is a label that the worker must have. DataRack is the rack
	// that holds the data of the step; its workers are preferred. Both may be
	// empty.
	RequiredLabel, DataRack string
	// PerWorker bounds the tasks of an occurrence of the step on one worker; 0
	// means no bound.
	PerWorker int
	// Speculative permits several runs of a task at the same time.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Filler tasks are best-effort: they use the processors that other tasks
	// leave idle.
	Filler bool
	// Image names the program of the tasks. Tasks of the same image are
	// expected to use resources and interfere alike.
	Image string
	// TailTarget is the target for the tail latency that the callers of a
	// serving task see; 0 means that the tasks have no callers.
	TailTarget time.Duration
	// MaxUnavailable is how many tasks of a long-running step the scheduler may
	// stop at the same time; -1 means no bound. It binds drains only.
	MaxUnavailable int
}

// JobSpec is the input of NewJob.
type JobSpec struct {
	ID model.JobID
	// Queue is the key of the queue that accepted the job, since a configuration may
	// change its name. Service is the pool whose workers run the tasks; SetServices changes it.
	Queue   string
	Service model.ServiceID
	// Workspace is the customer who owns the job, "" for none.
	Workspace model.WorkspaceID
	// Body is the input of the tasks, in a format of their own. Every start
	// order contains it unchanged.
	Body  string
	Steps []StepSpec
	// Priority orders jobs; 0 is the highest priority.
	Priority int
	// MaxFailures is the number of failures of one task that ends the job; 0
	// means no bound.
	MaxFailures int
	// The objective of the job, the time within which an occurrence should
	// complete after it is due, is ObjectiveFactor times the declared duration
	// of the longest chain of steps, plus ObjectiveBase.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// AcceptedMs is the leader's wall clock when it accepted the job, in
	// milliseconds since 1970.
	AcceptedMs int64
	// FirstDueMs is when the first occurrence of a repeating job is due, in
	// milliseconds since 1970. Interval is the time between two occurrences and
	// Repetitions their number. Repetitions is 0 for a job that runs once, as
	// soon as possible.
	FirstDueMs  int64
	Interval    time.Duration
	Repetitions int
}

// Job is a submitted job that NewJob has validated.
type Job struct {
	spec JobSpec
	// chainFrom holds, for each step, the declared duration of the longest
	// chain of steps that begins with it.
	chainFrom []time.Duration
}

// JobError reports the invalid fields of a job.
type JobError struct {
	faults []model.Fault
}

// Faults returns the faults in field order.
func (err *JobError) Faults() []model.Fault { return append([]model.Fault(nil), err.faults...) }

// Error lists every fault.
func (err *JobError) Error() string { return "job not accepted: " + joinFaults(err.faults) }

// NewJob validates the specification of a job that is submitted and returns the job, or a
// JobError with every fault.
func NewJob(spec JobSpec) (Job, error) {
	var fas faults
	fas.checkStructure(spec)
	fas.checkAmounts(spec)
	fas.checkTexts(spec)
	return newJob(spec, fas)
}

// StoredJob returns a job that was accepted before, maybe by a version with other limits
// of amounts, or a JobError.
func StoredJob(spec JobSpec) (Job, error) {
	var fas faults
	fas.checkStructure(spec)
	return newJob(spec, fas)
}

// newJob returns the job, or a JobError if there are faults.
func newJob(spec JobSpec, fas faults) (Job, error) {
	if len(fas) > 0 {
		return Job{}, &JobError{faults: fas}
	}
	return Job{spec: spec, chainFrom: chainsFrom(spec.Steps)}, nil
}

// checkStructure adds the faults without which the state can hold the job.
func (fas *faults) checkStructure(spec JobSpec) {
	fas.rejectIf(spec.ID == "", "id", "a name")
	fas.rejectIf(len(spec.Body) > maxBody, "body", "at most 4000 bytes")
	fas.rejectIf(len(spec.Steps) == 0 || len(spec.Steps) > maxSteps, "steps", "1 to 200 steps")
	fas.rejectIf(spec.Repetitions < 0 || spec.Repetitions > maxRepetitions, "times", "0 to 10000")
	fas.rejectIf(spec.Repetitions > 0 && spec.Interval < 0, "every", "0 or more")
	total := 0
	for pos, st := range spec.Steps {
		name := "steps." + strconv.Itoa(pos)
		total += min(max(0, st.Tasks), maxTasks+1)
		fas.rejectIf(st.Tasks < 1, name+".tasks", "1 or more")
		fas.rejectIf(!st.Size.Valid(), name+".size", "amounts of 0 or more")
		fas.rejectIf(st.Estimate < 0, name+".estimate", "0 or more")
		for _, dep := range st.After {
			fas.rejectIf(dep < 0 || dep >= pos, name+".after", "numbers of earlier steps")
		}
	}
	fas.rejectIf(total > maxTasks, "tasks", "at most 20000 in all steps")
}

// checkAmounts adds the faults of amounts that are too large.
func (fas *faults) checkAmounts(spec JobSpec) {
	fas.rejectIf(spec.Repetitions > 0 && spec.Interval > maxSpan, "every", spanAllowed)
	fas.rejectIf(spec.FirstDueMs < 0 || spec.FirstDueMs > maxUnixMs, "firstDue", "a time from 1970 to 9999")
	for pos, st := range spec.Steps {
		name := "steps." + strconv.Itoa(pos)
		fas.rejectIf(st.Size.Valid() && !validSize(st.Size), name+".size", "amounts from 0 to "+sizeLimits)
		fas.rejectIf(st.Estimate > maxSpan, name+".estimate", spanAllowed)
		fas.rejectIf(!validSpan(st.TailTarget), name+".tailTarget", spanAllowed)
	}
}

// checkTexts adds the faults of texts that the log cannot hold, or that are too large for an
// order.
func (fas *faults) checkTexts(spec JobSpec) {
	fas.rejectIf(len(spec.ID) > maxID || !utf8.ValidString(string(spec.ID)), "id", "UTF-8 of at most 256 bytes")
	fas.rejectIf(!utf8.ValidString(spec.Queue), "queue", textAllowed)
	fas.rejectIf(!utf8.ValidString(string(spec.Service)), "service", textAllowed)
	fas.rejectIf(!utf8.ValidString(string(spec.Workspace)), "workspace", textAllowed)
	fas.rejectIf(!utf8.ValidString(spec.Body), "body", textAllowed)
	for pos, st := range spec.Steps {
		name := "steps." + strconv.Itoa(pos)
		fas.rejectIf(!utf8.ValidString(st.RequiredLabel), name+".requiredLabel", textAllowed)
		fas.rejectIf(!utf8.ValidString(st.DataRack), name+".dataRack", textAllowed)
		fas.rejectIf(!utf8.ValidString(st.Image), name+".image", textAllowed)
	}
}

// chainsFrom returns, for each step, the declared duration of the longest
// chain of steps that begins with it.
func chainsFrom(steps []StepSpec) []time.Duration {
	chains := make([]time.Duration, len(steps))
	for pos := len(steps) - 1; pos >= 0; pos-- {
		chains[pos] += steps[pos].Estimate
		for _, dep := range steps[pos].After {
			chains[dep] = max(chains[dep], chains[pos])
		}
	}
	return chains
}

// Spec returns the specification of the job.
func (jo Job) Spec() JobSpec { return jo.spec }

// ID returns the identifier of the job.
func (jo Job) ID() model.JobID { return jo.spec.ID }

// Chain returns the declared duration of the longest chain of steps.
func (jo Job) Chain() time.Duration {
	var longest time.Duration
	for _, chain := range jo.chainFrom {
		longest = max(longest, chain)
	}
	return longest
}

// Objective returns the time within which the job should end after it was
// accepted, or an occurrence after it fell due. It is at most twice maxSpan.
func (jo Job) Objective() time.Duration {
	worked := min(jo.spec.ObjectiveFactor*float64(jo.Chain()), float64(maxSpan))
	return time.Duration(worked) + min(jo.spec.ObjectiveBase, maxSpan)
}

// Work returns the declared work of all tasks, in processor time, and the number of tasks
// of the widest step.
func (jo Job) Work() (time.Duration, int) {
	work, width := 0.0, 0
	for _, st := range jo.spec.Steps {
		work += float64(st.Tasks) * float64(st.Size.MilliCPU()) / 1000 * float64(st.Estimate)
		width = max(width, st.Tasks)
	}
	return time.Duration(min(work, float64(maxSpan))), width
}

// longRunning reports whether any step runs until the job is cancelled.
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
