package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
	"guavarail/io/fake/worker"
	"guavarail/io/host"
	"guavarail/io/rest"
)

// runLog records the starts and ends of attempts on all workers and checks
// each against those before it.
type runLog struct {
	mu sync.Mutex
	// on has the worker and attempt that runs each task.
	on   map[string]worker.AttemptEvent
	done map[string]int
	// unsure has tasks that were completed on a worker that could not report.
	unsure map[string]bool
	// cutOff has the workers that may be unable to report a completion.
	cutOff map[string]bool
	// doneBy has the worker that completed each task.
	doneBy   map[string]string
	starts   map[string]int
	resumed  int
	faults   []string
	closedAt model.Instant
}

func newRunLog() *runLog {
	return &runLog{
		on: map[string]worker.AttemptEvent{}, done: map[string]int{}, starts: map[string]int{},
		unsure: map[string]bool{}, cutOff: map[string]bool{}, doneBy: map[string]string{},
	}
}

func (rl *runLog) add(run worker.AttemptEvent) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	key := run.Task()
	if run.State() == "running" {
		if cur, ok := rl.on[key]; ok {
			rl.faults = append(rl.faults, fmt.Sprintf("P2: attempt %d of %s started on %s while attempt %d runs on %s",
				run.Attempt(), key, run.Worker(), cur.Attempt(), cur.Worker()))
		}
		if rl.done[key] > 0 && !rl.unsure[key] {
			rl.faults = append(rl.faults, "P3: "+key+" started again after it was complete")
		}
		if rl.closedAt > 0 && run.At() > rl.closedAt {
			rl.faults = append(rl.faults, "P4: "+key+" started after its data centre was taken out")
		}
		rl.on[key] = run
		rl.starts[key]++
		if run.ResumedFrom() > 0 {
			rl.resumed++
		}
		return
	}
	delete(rl.on, key)
	if run.State() == "succeeded" {
		rl.done[key]++
		rl.doneBy[key] = run.Worker()
		rl.unsure[key] = rl.unsure[key] || rl.cutOff[run.Worker()]
	}
}

// cut notes that a worker may be unable to report from now on. recorded has the
// tasks that the system knows to be complete. It cannot know of a completion
// that is never reported, so such a task may run again once its lease is over.
func (rl *runLog) cut(name string, recorded map[string]bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.cutOff[name] = true
	for key, by := range rl.doneBy {
		if by == name && !recorded[key] {
			rl.unsure[key] = true
		}
	}
}

// recorded returns the tasks of a job that the system knows to be complete.
func recorded(clu *cluster, v *vm, job string) map[string]bool {
	out := map[string]bool{}
	clu.until("the job is shown", func() bool {
		got, ok := get[rest.Job](v, rest.PathJobs+"/"+job)
		for _, task := range got.Tasks {
			if task.State == "finished" {
				out[fmt.Sprintf("%s/%d", job, task.Index)] = true
			}
		}
		return ok
	})
	return out
}

// complete returns the number of tasks of a job that are complete.
func (rl *runLog) complete(job string) (num int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for key := range rl.done {
		if strings.HasPrefix(key, job+"/") {
			num++
		}
	}
	return num
}

func (rl *runLog) check(t *testing.T) {
	t.Helper()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, fault := range rl.faults {
		t.Error(fault)
	}
	for _, key := range slices.Sorted(maps.Keys(rl.done)) {
		if rl.done[key] != 1 && !rl.unsure[key] {
			t.Errorf("P3: %s was completed %d times", key, rl.done[key])
		}
	}
}

// startWorkers starts workers of two cores whose tasks take runTime.
func startWorkers(t *testing.T, clu *cluster, num int, clock host.Clock, rl *runLog, runTime time.Duration) []*worker.Worker {
	t.Helper()
	sys, stopSys := host.NewSystem(hclog.NewNullLogger())
	t.Cleanup(stopSys)
	var adrs []string
	for _, v := range clu.vms {
		adrs = append(adrs, v.api)
	}
	var out []*worker.Worker
	for i := range num {
		wor, stop, err := worker.New(worker.Config{
			System: sys, Name: fmt.Sprintf("w-%d", i), Rack: fmt.Sprintf("rack-%d", i/2),
			Size: model.NewResources(2000, 4096, 0), Addresses: adrs, Clock: clock, OnAttemptEvent: rl.add,
			Workload: worker.Workload{RunTime: func(rest.Order) time.Duration { return runTime }},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		out = append(out, wor)
	}
	return out
}

// Guards P2 and P3: a task runs in two places, is lost, or is run again, while
// the VMs are killed and frozen one by one and workers vanish or fall silent
// for longer than their leases.
func TestP2P3TasksRunOnce(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	clock := host.NewClock()
	rl := newRunLog()
	wrks := startWorkers(t, clu, 4, clock, rl, 2*time.Second)
	const tasks = 40
	clu.must(clu.vms[0], "job", "submit", "recon", "--team", "stock", "--tasks", fmt.Sprint(tasks), "--cpu", "1", "--memory-mb", "512")
	for i, v := range clu.vms {
		clu.until("tasks run", func() bool { return rl.complete("recon") >= 4*(i+1) })
		known := recorded(clu, v, "recon")
		clu.kill(v)
		rl.cut(fmt.Sprintf("w-%d", i), known)
		wrks[i].SetFaults([]worker.Faults{worker.VMLost, worker.Partitioned, worker.FailTasks}[i], true)
		time.Sleep(time.Second)
		clu.start(v)
		clu.waitReady(v)
		clu.signal(v, syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		clu.signal(v, syscall.SIGCONT)
	}
	time.Sleep(12 * time.Second)
	for i, mode := range []worker.Faults{worker.VMLost, worker.Partitioned, worker.FailTasks} {
		wrks[i].SetFaults(mode, false)
	}
	clu.until("all tasks are complete", func() bool {
		job, ok := get[rest.Job](clu.vms[0], rest.PathJobs+"/recon")
		return ok && job.Counts.Finished == tasks
	})
	rl.check(t)
	if num := rl.complete("recon"); num != tasks {
		t.Errorf("%d of %d tasks ran to their end", num, tasks)
	}
}

// startBound is the time after which no task may start in a data centre that
// was taken out.
const startBound = 3 * time.Second

// Guards P4: a task starts in a data centre more than 3 s after operators took
// it out, also when that data centre cannot hear them.
func TestP4NoStartInACentreTakenOut(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	clock := host.NewClock()
	rl := newRunLog()
	local := &cluster{t: t, dir: clu.dir, vms: clu.vms[:1]}
	startWorkers(t, local, 3, clock, rl, 300*time.Millisecond)
	clu.must(clu.vms[0], "job", "submit", "alloc", "--team", "fleet", "--tasks", "2000", "--cpu", "1", "--memory-mb", "512")
	clu.until("tasks run", func() bool { return rl.complete("alloc") > 5 })
	// Frozen from before the command until after the bound, the data centre
	// knows nothing of it.
	clu.signal(clu.vms[0], syscall.SIGSTOP)
	clu.must(clu.vms[1], "centre", "out", "musanze")
	rl.mu.Lock()
	rl.closedAt = clock().Add(startBound)
	rl.mu.Unlock()
	time.Sleep(startBound)
	clu.signal(clu.vms[0], syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	before := rl.complete("alloc")
	rl.check(t)
	rl.mu.Lock()
	rl.closedAt = 0
	rl.mu.Unlock()
	clu.must(clu.vms[1], "centre", "in", "musanze")
	clu.until("tasks run again", func() bool { return rl.complete("alloc") > before+5 })
	rl.check(t)
}

// Guards F8 in a small data centre: one worker of three fails every task, and
// the only job must end well while the worker is in quarantine.
func TestF8BadWorkerDoesNotEndAGoodJob(t *testing.T) {
	clu := newCluster(t, "riga-a-1")
	rl := newRunLog()
	wrks := startWorkers(t, clu, 3, host.NewClock(), rl, 2*time.Second)
	wrks[0].SetFaults(worker.FailTasks, true)
	const tasks = 30
	// With the whole data centre open to batch, the good workers are full and
	// the bad one is the only place left.
	clu.must(clu.vms[0], "preset", "create", "full", "--batch-share", "100")
	clu.must(clu.vms[0], "preset", "switch", "full")
	clu.must(clu.vms[0], "job", "submit", "stock-1", "--team", "stock", "--tasks", fmt.Sprint(tasks), "--cpu", "1", "--memory-mb", "512")
	clu.until("the bad worker is in quarantine", func() bool {
		lis, _ := get[rest.WorkerList](clu.vms[0], rest.PathWorkers)
		return slices.ContainsFunc(lis.Workers, func(wor rest.Worker) bool { return wor.Name == "w-0" && wor.State == "quarantined" })
	})
	t.Log(clu.must(clu.vms[0], "worker", "list"))
	t.Log(clu.must(clu.vms[0], "job", "show", "stock-1"))
	clu.until("all tasks are complete", func() bool {
		job, ok := get[rest.Job](clu.vms[0], rest.PathJobs+"/stock-1")
		if ok && job.Counts.Failed > 0 {
			t.Fatalf("the job failed: %s", job.Reason)
		}
		return ok && job.Counts.Finished == tasks
	})
	rl.check(t)
}
