package worker

import (
	"cmp"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

const defaultRunTime = time.Second

// attempt is one attempt of a task. The work of the task is simulated by elapsed
// time.
type attempt struct {
	task      string
	number    uint32
	state     string
	kind      string
	size      model.Resources
	usage     model.Resources
	startedAt model.Instant
	// leaseEnd is when the lease expires; the attempt does not run beyond it.
	leaseEnd model.Instant
	// progressAt is the time up to which progress has been computed.
	progressAt model.Instant
	// work is the run time of the task at full speed, and progress the part of
	// it that is done.
	work, progress time.Duration
	// cpuPercent is the percentage of the CPU in size that the task may use.
	cpuPercent int64
	// failing makes the attempt fail after failAfter.
	failing bool
	// checkpointAt is when the checkpoint being written is complete, and stopAt
	// when the attempt stops; zero means that none is pending.
	checkpointAt, stopAt model.Instant
	checkpoint           *rest.Checkpoint
	resumedFrom          *rest.Checkpoint
}

func compareTask(att *attempt, task string) int { return cmp.Compare(att.task, task) }

// start starts the attempt from its checkpoint, or from the fallback if the
// checkpoint is unreadable. The sequence number of a checkpoint is the progress
// in milliseconds plus one, so that another worker can resume without a
// checkpoint store.
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

// advance computes the progress of the attempt up to now. It returns the new
// state, and if that is not running, when and why the attempt ended.
func (att *attempt) advance(now model.Instant, fas Faults) (at model.Instant, state, reason string) {
	end := min(now, att.leaseEnd)
	if att.stopAt > 0 {
		end = min(end, att.stopAt)
	}
	rate := att.cpuPercent
	if fas.has(Slow) {
		rate /= SlowFactor
	}
	before, span := att.progress, max(0, end.Sub(att.progressAt))
	att.progress += span * time.Duration(rate) / 100
	if att.checkpointAt > 0 && !end.Before(att.checkpointAt) {
		att.takeCheckpoint(before + max(0, att.checkpointAt.Sub(att.progressAt))*time.Duration(rate)/100)
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

// stop makes the attempt stop after checkpointDuration with a checkpoint, or
// after grace without one if grace is shorter.
func (att *attempt) stop(now model.Instant, grace time.Duration) {
	if att.stopAt > 0 {
		return
	}
	att.stopAt = now.Add(min(grace, checkpointDuration))
	if grace >= checkpointDuration {
		att.checkpointAt = att.stopAt
	}
}

// throttle limits the CPU of the attempt to that of size; nil removes the limit.
func (att *attempt) throttle(size *rest.Resources) {
	att.cpuPercent = 100
	if size != nil && att.size.MilliCPU() > 0 {
		att.cpuPercent = min(100, max(0, 100*size.MilliCPU/att.size.MilliCPU()))
	}
}

// report returns the entry of the attempt in the worker's report at now. It
// includes usage once the attempt has run for delay.
func (att *attempt) report(now model.Instant, delay time.Duration, slowdown int) rest.Attempt {
	out := rest.Attempt{
		Task: att.task, Attempt: att.number, State: att.state, Checkpoint: att.checkpoint, Resumed: att.resumedFrom,
	}
	if att.state == running && now.Sub(att.startedAt) >= delay {
		use := rest.NewResources(att.usage)
		use.MilliCPU = use.MilliCPU * att.cpuPercent / 100
		out.Usage, out.UsageAgeMs, out.SlowdownPercent = &use, delay.Milliseconds(), slowdown
	}
	return out
}
