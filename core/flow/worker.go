package flow

import (
	"slices"

	"guavarail/core/model"
)

// placed is a run on a worker, as the leader sees it.
type placed struct {
	job     *job
	spec    *StepSpec
	task    TaskID
	attempt int
	// size is what the run takes of the worker.
	size model.Resources
	// since is when the run was decided or taken over.
	since model.Instant
	// planned: the start is proposed and not applied yet.
	planned bool
	// ending: the end is proposed and not applied yet.
	ending bool
	// told: the start order went out as the answer to report toldIn.
	told   bool
	toldIn uint64
	// inherited: an earlier leader recorded the run, so that its order may have
	// been sent.
	inherited bool
	// seen: a report listed the run.
	seen bool
	// stopping: a stop order went out.
	stopping   bool
	checkpoint string
	percent    int
	// gauged is the progress at gaugedAt, from which the next one is measured.
	gauged   int
	gaugedAt model.Instant
	// movedAt is when a report last showed progress, or a lasting task at work.
	movedAt model.Instant
	// use is the share of the worker that a filler used at the last report.
	use float64
	// full is the share at full pace, 0 before it was read.
	full float64
	// pace is the share of its speed at which the run may work, in percent.
	pace int
	// stillSince is when the pace was changed last.
	stillSince model.Instant
	// evict: the run is to be stopped so that it starts elsewhere.
	evict bool
	// paced: the worker may apply a pace of this or an earlier leader. toldPace
	// is the last that was ordered, at toldPaceAt, or unknownPace.
	paced      bool
	toldPace   int
	toldPaceAt model.Instant
}

func newPlaced(jb *job, task TaskID, attempt int, now model.Instant) *placed {
	spec := &jb.spec.Steps[task.step]
	return &placed{job: jb, spec: spec, task: task, attempt: attempt, size: spec.counted(), since: now, pace: fullPace, toldPace: fullPace}
}

// inherit marks a run that an earlier leader recorded.
func (pd *placed) inherit() *placed {
	pd.inherited = true
	if pd.spec.Filler {
		pd.paced, pd.toldPace = true, unknownPace
	}
	return pd
}

// counted returns what a task takes of a worker. The processors of a filler
// are not counted.
func (sp *StepSpec) counted() model.Resources {
	if sp.Filler {
		return model.NewResources(0, sp.Size.MemoryMB(), sp.Size.Accelerators())
	}
	return sp.Size
}

// serves reports whether the tasks have callers of their own.
func (sp *StepSpec) serves() bool { return sp.TailTarget > 0 }

// worker is what the leader knows about one life of a worker.
type worker struct {
	life     Life
	service  model.ServiceID
	centre   model.CentreID
	address  string
	rack     string
	labels   []string
	size     model.Resources
	used     model.Resources
	draining bool
	// known is set by the first report to this leader.
	known    bool
	sequence uint64
	heard    model.Instant
	// lease is when everything that this worker runs is over for certain
	// unless it is renewed.
	lease   model.Instant
	expired bool
	placed  []*placed
	// poll is the report that waits for its answer while polled is set.
	poll     uint64
	polled   bool
	polledAt model.Instant
	// ends are the ended runs of the last report, by number.
	ends []EndReport
	// strays are runs that the state does not have on this worker.
	strays []StopOrder
	health health
	speed  speed
	// slowUntil is until when the worker gets no tasks because it is slow.
	slowUntil model.Instant
	// serving counts the runs with a tail target, fillers the fillers.
	serving, fillers int
	// filling is what the fillers ask for, served what the serving tasks ask
	// for, in thousandths of a processor.
	filling, served int64
	// overSince is since when some serving task is over its target, 0 while
	// none is.
	overSince model.Instant
	// uses and expected are the shares of the fillers and the tails to expect
	// of the serving images.
	uses     []imageUse
	expected []expected
	echoes   []echo
}

func (wk *worker) free() model.Resources { return wk.size.Sub(wk.used) }

func (wk *worker) add(pd *placed) {
	wk.placed = append(wk.placed, pd)
	wk.used = wk.used.Add(pd.size)
	wk.count(pd, 1)
}

func (wk *worker) count(pd *placed, by int) {
	if pd.spec.serves() {
		wk.serving += by
		wk.served += int64(by) * pd.spec.Size.MilliCPU()
	}
	if pd.spec.Filler {
		wk.fillers += by
		wk.filling += int64(by) * pd.spec.Size.MilliCPU()
	}
}

func (wk *worker) drop(pd *placed) {
	pos := slices.Index(wk.placed, pd)
	if pos < 0 {
		return
	}
	wk.placed = slices.Delete(wk.placed, pos, pos+1)
	wk.used = wk.used.Sub(pd.size)
	wk.count(pd, -1)
}

func (wk *worker) find(task TaskID, attempt int) *placed {
	for _, pd := range wk.placed {
		if pd.attempt == attempt && pd.task == task {
			return pd
		}
	}
	return nil
}

// sameStep counts the runs of one step of one occurrence.
func (wk *worker) sameStep(task TaskID) int {
	num := 0
	for _, pd := range wk.placed {
		if pd.task.job == task.job && pd.task.occurrence == task.occurrence && pd.task.step == task.step {
			num++
		}
	}
	return num
}
