package cell

import (
	"time"

	"guavarail/core/flow"
	"guavarail/core/model"
)

// maxDroppedJobs bounds the dropped jobs that a VM remembers. With the usual rate of jobs
// that is some minutes.
const maxDroppedJobs = 8192

// droppedJobs remembers when jobs were dropped after their retention, so that the event of
// an unknown job tells whether it was ever accepted. The zero value is empty. The
// group's actor owns it.
type droppedJobs struct {
	// droppedAt has the times by job, and order the jobs from the oldest to the newest in
	// a ring that begins at oldest once it has maxDroppedJobs.
	droppedAt map[model.JobID]model.Instant
	order     []model.JobID
	oldest    int
}

// apply notes the jobs that an applied operation has dropped.
func (dro *droppedJobs) apply(now model.Instant, op flow.Op, verdict flow.Verdict) {
	if op.Kind() != flow.OpForget || verdict != flow.Accepted {
		return
	}
	if dro.droppedAt == nil {
		dro.droppedAt = map[model.JobID]model.Instant{}
	}
	if _, ok := dro.droppedAt[op.ID()]; ok {
		dro.droppedAt[op.ID()] = now
		return
	}
	dro.droppedAt[op.ID()] = now
	if len(dro.order) < maxDroppedJobs {
		dro.order = append(dro.order, op.ID())
		return
	}
	delete(dro.droppedAt, dro.order[dro.oldest])
	dro.order[dro.oldest] = op.ID()
	dro.oldest = (dro.oldest + 1) % maxDroppedJobs
}

// age returns the time since a job was dropped, and false if this VM does not remember
// that it was.
func (dro *droppedJobs) age(now model.Instant, id model.JobID) (time.Duration, bool) {
	at, ok := dro.droppedAt[id]
	return now.Sub(at), ok
}
