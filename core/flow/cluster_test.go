package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// cluster drives a planner with workers of 4 processors and 4000 MB of memory,
// which carry out orders, report each run and its end, and stop runs at once.
type cluster struct {
	*harness
	rng     *rand.Rand
	workers []*clusterWorker
	// durations is how long a run of a job takes. A run of another job goes on
	// until it is stopped.
	durations map[model.JobID]time.Duration
	// starts holds when the first run of a task started, and running the workers
	// of the tasks that run now.
	starts  map[TaskID]model.Instant
	running map[TaskID]string
	// completed counts the runs that succeeded.
	completed int
	submitted int
	// hangs is how many workers hang when they get a stop order.
	hangs int
}

// clusterWorker is one worker of a cluster.
type clusterWorker struct {
	name    string
	runs    []clusterRun
	ended   []EndReport
	lastEnd uint64
	// hung is set if the worker carries out no stop orders.
	hung bool
}

// clusterRun is one run on a worker of a cluster. A run with duration 0 goes on
// until it is stopped.
type clusterRun struct {
	order    StartOrder
	at       model.Instant
	duration time.Duration
}

func newCluster(t *testing.T, seed uint64, workers int) *cluster {
	clu := &cluster{
		harness: newHarness(t), rng: rand.New(rand.NewPCG(seed, 7)), durations: map[model.JobID]time.Duration{},
		starts: map[TaskID]model.Instant{}, running: map[TaskID]string{},
	}
	for i := range workers {
		clu.workers = append(clu.workers, &clusterWorker{name: fmt.Sprint("w", i)})
	}
	return clu
}

// submitJob submits a job of one step.
func (clu *cluster) submitJob(id model.JobID, priority int, duration time.Duration, step StepSpec) {
	step.Estimate = duration
	jo, err := NewJob(JobSpec{
		ID: id, Service: "svc", Steps: []StepSpec{step}, Priority: priority, MaxFailures: 9, ObjectiveFactor: 2, ObjectiveBase: time.Second,
		AcceptedMs: time.Duration(clu.now).Milliseconds(),
	})
	if err != nil {
		clu.t.Fatal(err)
	}
	clu.durations[id] = duration
	clu.step(clu.commit(Submit(jo)))
}

// cancel cancels a job.
func (clu *cluster) cancel(id model.JobID) {
	clu.step(clu.commit(Cancel(id)))
}

// play lets every worker send heartbeats for a time. Before each round, feed may
// submit jobs.
func (clu *cluster) play(dur time.Duration, feed func()) {
	for end := clu.now.Add(dur); clu.now.Before(end); {
		feed()
		for _, wk := range clu.workers {
			clu.report(wk)
		}
		clu.now = clu.now.Add(TickInterval)
		clu.step(Tick{LeaseUntil: model.Instant(time.Hour), Wall: time.Duration(clu.now).Milliseconds()})
	}
}

// report sends one heartbeat of a worker and carries out the answer.
func (clu *cluster) report(wk *clusterWorker) {
	wk.runs = slices.DeleteFunc(wk.runs, func(ru clusterRun) bool {
		over := ru.duration > 0 && clu.now.Sub(ru.at) >= ru.duration
		if over {
			clu.completed++
			clu.end(wk, ru, Succeeded)
		}
		return over
	})
	var runs []RunReport
	for _, ru := range wk.runs {
		percent := fullPace
		if ru.duration > 0 {
			percent = int(fullPace * clu.now.Sub(ru.at) / ru.duration)
		}
		runs = append(runs, RunReport{Task: ru.order.Task, Attempt: ru.order.Attempt, Percent: percent})
	}
	ans := clu.heartbeat(wk.name, runs, wk.ended...)
	wk.ended = slices.DeleteFunc(wk.ended, func(er EndReport) bool { return er.Number <= ans.Acknowledged })
	if len(ans.Stops) > 0 && clu.hangs > 0 && !wk.hung {
		clu.hangs--
		wk.hung = true
	}
	for _, ord := range ans.Stops {
		if wk.hung {
			break
		}
		wk.runs = slices.DeleteFunc(wk.runs, func(ru clusterRun) bool {
			stopped := ru.order.Task == ord.Task && ru.order.Attempt == ord.Attempt
			if stopped {
				clu.end(wk, ru, Stopped)
			}
			return stopped
		})
	}
	for _, ord := range ans.Starts {
		dur := clu.durations[ord.Task.Job()]
		if dur > 0 {
			dur = dur*3/4 + time.Duration(clu.rng.Int64N(int64(dur)/2))
		}
		wk.runs = append(wk.runs, clusterRun{order: ord, at: clu.now, duration: dur})
		if _, ok := clu.starts[ord.Task]; !ok {
			clu.starts[ord.Task] = clu.now
		}
		clu.running[ord.Task] = wk.name
	}
}

func (clu *cluster) end(wk *clusterWorker, ru clusterRun, oc Outcome) {
	wk.lastEnd++
	wk.ended = append(wk.ended, EndReport{Number: wk.lastEnd, Task: ru.order.Task, Attempt: ru.order.Attempt, Outcome: oc})
	delete(clu.running, ru.order.Task)
}

// lose ends a worker for good, with everything that runs on it, and lets the leader know.
func (clu *cluster) lose(name string) {
	clu.disconnect(name)
	clu.harness.lose(name)
}

// disconnect makes a worker exit without a word, with everything that runs on it.
func (clu *cluster) disconnect(name string) {
	clu.workers = slices.DeleteFunc(clu.workers, func(wk *clusterWorker) bool { return wk.name == name })
	for id, worker := range clu.running {
		if worker == name {
			delete(clu.running, id)
		}
	}
}

// runs reports how many tasks of a job run now.
func (clu *cluster) runs(id model.JobID) int {
	num := 0
	for task := range clu.running {
		if task.Job() == id {
			num++
		}
	}
	return num
}

// started returns how many tasks of a job have started.
func (clu *cluster) started(id model.JobID) int {
	num := 0
	for task := range clu.starts {
		if task.Job() == id {
			num++
		}
	}
	return num
}

// stream returns a feed that keeps jobs of small tasks waiting.
func (clu *cluster) stream(waiting int, duration time.Duration) func() {
	return func() {
		for clu.submitted-clu.completed < waiting {
			clu.submitJob(model.JobID(fmt.Sprint("stream", clu.submitted)), 0, duration, StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
			clu.submitted++
		}
	}
}
