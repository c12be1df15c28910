package worker

import (
	"cmp"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

const defaultRunTime = time.Second

// attempt is one attempt of a task; its run is a timer.
type attempt struct {
	task   string
	number uint32
	state  string
	kind   string
	size   model.Resources
	usage  model.Resources
	began  model.Instant
	// until is when the lease ends; the attempt does not run beyond it.
	until model.Instant
	// seen is the time up to which progress is counted.
	seen model.Instant
	// total is the work of the task, and progress the part that is done.
	total, progress time.Duration
	// limit is the percentage of the size that the task may use.
	limit int64
	fails bool
	// writing is when the checkpoint that is being written is complete, and
	// stopping when the attempt stops. Zero means neither.
	writing, stopping model.Instant
	checkpoint        *rest.Checkpoint
	resumed           *rest.Checkpoint
}

func compareTask(att *attempt, task string) int { return cmp.Compare(att.task, task) }

// begin starts the attempt from its checkpoint or the fallback. The sequence of
// a checkpoint is the progress in milliseconds plus one, so that no store is
// needed to resume on another worker.
func (att *attempt) begin(now model.Instant, ord rest.Order, plan Workload, mode Faults, until model.Instant) {
	att.state, att.kind, att.fails = running, ord.JobKind, mode.has(FailTasks)
	att.began, att.seen, att.until, att.limit = now, now, until, 100
	if ord.Size != nil {
		att.size = ord.Size.Model()
	}
	att.usage, att.total = att.size, defaultRunTime
	if plan.Usage != nil {
		att.usage = plan.Usage(ord)
	}
	if plan.RunTime != nil {
		att.total = plan.RunTime(ord)
	}
	att.resumed = ord.Checkpoint
	if mode.has(UnreadableCheckpoint) {
		att.resumed = ord.Fallback
	}
	if att.resumed != nil && att.resumed.Sequence > 0 {
		att.progress = time.Duration(att.resumed.Sequence-1) * time.Millisecond
	}
}

// advance moves the attempt on to now. It returns the new state, and if that is
// not running, when and why the attempt ended.
func (att *attempt) advance(now model.Instant, mode Faults) (at model.Instant, state, reason string) {
	end := min(now, att.until)
	if att.stopping > 0 {
		end = min(end, att.stopping)
	}
	rate := att.limit
	if mode.has(Slow) {
		rate /= SlowFactor
	}
	before, span := att.progress, max(0, end.Sub(att.seen))
	att.progress += span * time.Duration(rate) / 100
	if att.writing > 0 && !end.Before(att.writing) {
		att.save(before + max(0, att.writing.Sub(att.seen))*time.Duration(rate)/100)
		att.writing = 0
	}
	att.seen = end
	switch {
	case att.fails && end.Sub(att.began) >= failAfter:
		return end, failed, "worker fails tasks"
	case att.progress >= att.total:
		return end, succeeded, ""
	case !now.Before(att.until):
		return att.until, stopped, "lease expired"
	case att.stopping > 0 && !now.Before(att.stopping):
		return att.stopping, stopped, "stop ordered"
	}
	return now, running, ""
}

// save takes a checkpoint at the given progress.
func (att *attempt) save(progress time.Duration) {
	att.checkpoint = &rest.Checkpoint{Attempt: att.number, Sequence: uint32(progress.Milliseconds()) + 1}
}

// stop lets the attempt stop after it wrote a checkpoint, if grace is enough.
func (att *attempt) stop(now model.Instant, grace time.Duration) {
	if att.stopping > 0 {
		return
	}
	att.stopping = now.Add(min(grace, checkpointTime))
	if grace >= checkpointTime {
		att.writing = att.stopping
	}
}

// throttle limits what the attempt may use; nil lifts the limit.
func (att *attempt) throttle(size *rest.Resources) {
	att.limit = 100
	if size != nil && att.size.MilliCPU() > 0 {
		att.limit = min(100, max(0, 100*size.MilliCPU/att.size.MilliCPU()))
	}
}

// report returns what the worker reports of the attempt at now. Usage is known
// only after its delay.
func (att *attempt) report(now model.Instant, delay time.Duration, slowdown int) rest.Attempt {
	out := rest.Attempt{
		Task: att.task, Attempt: att.number, State: att.state, Checkpoint: att.checkpoint, Resumed: att.resumed,
	}
	if att.state == running && now.Sub(att.began) >= delay {
		use := rest.NewResources(att.usage)
		use.MilliCPU = use.MilliCPU * att.limit / 100
		out.Usage, out.UsageAgeMs, out.SlowdownPercent = &use, delay.Milliseconds(), slowdown
	}
	return out
}
