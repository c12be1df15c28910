package worker

import (
	"cmp"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

// defaultRunTime is the run time of a task when Workload.RunTime is nil.
const defaultRunTime = time.Second

// attempt is one attempt to run a task. The work of the task is simulated by
// elapsed time.
type attempt struct {
	// task is the id of the task, JOB/INDEX. The attempts of a task are numbered
	// in ascending order by the scheduler.
	task   string
	number uint32
	// state is one of the states in a report, such as running.
	state string
	// kind is the kind of the job.
	kind string
	// size is what the scheduler committed to the attempt, and usage what it
	// uses at full speed.
	size      model.Resources
	usage     model.Resources
	startedAt model.Instant
	// leaseEnd is when the lease expires; the attempt does not run beyond it.
	leaseEnd model.Instant
	// progressAt is the time up to which progress has been computed.
	progressAt model.Instant
	// work is the run time of the task at full speed, and progress how much of
	// that run time is done.
	work, progress time.Duration
	// cpuPercent is the percentage of the CPU in size that the task may use.
	cpuPercent int64
	// failing makes the attempt fail after failAfter.
	failing bool
	// checkpointAt is when the checkpoint being written will be complete, and
	// stopAt when the attempt will stop; 0 means that no checkpoint or stop is
	// pending.
	checkpointAt, stopAt model.Instant
	// checkpoint is the newest checkpoint that the attempt wrote, and resumedFrom
	// the one that it started from; nil means none.
	checkpoint  *rest.Checkpoint
	resumedFrom *rest.Checkpoint
}

func compareTask(att *attempt, task string) int { return cmp.Compare(att.task, task) }

// start starts the attempt from the checkpoint in the order, or from the order's
// fallback if the checkpoint is unreadable. The sequence number of a checkpoint is
// the progress in milliseconds plus one (sequence numbers start at 1), so that
// another worker can resume without a checkpoint store.
func (att *attempt) start(now model.Instant, ord rest.Order, wl Workload, fas Faults, leaseEnd model.Instant) {
	att.state, att.kind, att.failing = running, ord.JobKind, fas.has(FailTasks)
	att.startedAt, att.progressAt, att.leaseEnd, att.cpuPercent = now, now, leaseEnd, 100
	if ord.Size != nil {
		att.size = ord.Size.Model()
	}
	att.usage, att.work = att.size, defaultRunTime
	if wl.Usage != nil {
		att.usage = wl.Usage(ord)
	}
	if wl.RunTime != nil {
		att.work = wl.RunTime(ord)
	}
	att.resumedFrom = ord.Checkpoint
	if fas.has(UnreadableCheckpoint) {
		att.resumedFrom = ord.Fallback
	}
	if att.resumedFrom != nil && att.resumedFrom.Sequence > 0 {
		att.progress = time.Duration(att.resumedFrom.Sequence-1) * time.Millisecond
	}
}

// advance computes the progress of a running attempt up to now. It returns its new
// state, and if that is not running, when and why the attempt ended.
func (att *attempt) advance(now model.Instant, fas Faults) (at model.Instant, state, reason string) {
	end := min(now, att.leaseEnd)
	if att.stopAt > 0 {
		end = min(end, att.stopAt)
	}
	speedPercent := att.cpuPercent
	if fas.has(Slow) {
		speedPercent /= SlowFactor
	}
	before, span := att.progress, max(0, end.Sub(att.progressAt))
	att.progress += span * time.Duration(speedPercent) / 100
	if att.checkpointAt > 0 && !end.Before(att.checkpointAt) {
		att.takeCheckpoint(before + max(0, att.checkpointAt.Sub(att.progressAt))*time.Duration(speedPercent)/100)
		att.checkpointAt = 0
	}
	att.progressAt = end
	switch {
	case att.failing && end.Sub(att.startedAt) >= failAfter:
		return end, failed, "worker fails tasks"
	case att.progress >= att.work:
		return end, succeeded, ""
	case !now.Before(att.leaseEnd):
		return att.leaseEnd, stopped, "lease expired"
	case att.stopAt > 0 && !now.Before(att.stopAt):
		return att.stopAt, stopped, "stop ordered"
	}
	return now, running, ""
}

// takeCheckpoint completes a checkpoint at the given progress.
func (att *attempt) takeCheckpoint(progress time.Duration) {
	att.checkpoint = &rest.Checkpoint{Attempt: att.number, Sequence: uint32(progress.Milliseconds()) + 1}
}

// stop makes the attempt stop after checkpointDuration with a checkpoint, or after
// grace without one if grace is shorter. A repeated stop has no effect.
func (att *attempt) stop(now model.Instant, grace time.Duration) {
	if att.stopAt > 0 {
		return
	}
	att.stopAt = now.Add(min(grace, checkpointDuration))
	if grace >= checkpointDuration {
		att.checkpointAt = att.stopAt
	}
}

// throttle limits the CPU of the attempt to that of size; a nil size removes the
// limit.
func (att *attempt) throttle(size *rest.Resources) {
	att.cpuPercent = 100
	if size != nil && att.size.MilliCPU() > 0 {
		att.cpuPercent = min(100, max(0, 100*size.MilliCPU/att.size.MilliCPU()))
	}
}

// report returns the entry of the attempt in the worker's report at now. It
// includes usage once the attempt has run for delay, which is the age of the
// reported usage.
func (att *attempt) report(now model.Instant, delay time.Duration, slowdownPercent int) rest.Attempt {
	out := rest.Attempt{
		Task: att.task, Attempt: att.number, State: att.state, Checkpoint: att.checkpoint, Resumed: att.resumedFrom,
	}
	if att.state == running && now.Sub(att.startedAt) >= delay {
		use := rest.NewResources(att.usage)
		use.MilliCPU = use.MilliCPU * att.cpuPercent / 100
		out.Usage, out.UsageAgeMs, out.SlowdownPercent = &use, delay.Milliseconds(), slowdownPercent
	}
	return out
}
