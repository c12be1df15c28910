package flow

import (
	"strconv"
	"strings"

	"guavarail/core/model"
)

// TaskID identifies a task: a job, an occurrence, a step and the index of the
// task in the step.
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

// Occurrence returns the index of the occurrence, from 0.
func (id TaskID) Occurrence() int { return id.occurrence }

// Step returns the index of the step in its job, from 0.
func (id TaskID) Step() int { return id.step }

// Index returns the index of the task in its step, from 0.
func (id TaskID) Index() int { return id.index }

// String returns job, occurrence, step and index with dots between them.
func (id TaskID) String() string {
	buf := make([]byte, 0, len(id.job)+12)
	buf = append(buf, id.job...)
	for _, num := range [...]int{id.occurrence, id.step, id.index} {
		buf = strconv.AppendInt(append(buf, '.'), int64(num), 10)
	}
	return string(buf)
}

// ParseTaskID parses the result of TaskID.String, and returns false if text has
// another form.
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

// Incarnation is one start of a worker process, identified by the name of the
// worker and its start time. A worker that restarts under the same name is a
// new incarnation and has no runs.
type Incarnation struct {
	worker model.WorkerID
	// startedAt is on the worker's clock, in milliseconds since 1970.
	startedAt int64
}

// NewIncarnation returns the incarnation of a worker process that started at
// startedAt, in milliseconds since 1970.
func NewIncarnation(worker model.WorkerID, startedAt int64) Incarnation {
	return Incarnation{worker: worker, startedAt: startedAt}
}

// Worker returns the name of the worker.
func (inc Incarnation) Worker() model.WorkerID { return inc.worker }

// StartedAt returns the start time on the worker's clock, in milliseconds since
// 1970.
func (inc Incarnation) StartedAt() int64 { return inc.startedAt }

// String returns the name of the worker and the start time, separated by "@".
func (inc Incarnation) String() string {
	return string(inc.worker) + "@" + strconv.FormatInt(inc.startedAt, 10)
}
