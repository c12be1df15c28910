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

// attemptLog records the starts and ends of attempts on all workers, and checks each
// against the earlier ones. It checks that a task runs in one place at a time (P2),
// that a completed task doesn't run again (P3), and that no task starts in a data
// centre that is out of service (P4). Tasks are identified by JOB/INDEX. mu guards all
// fields.
type attemptLog struct {
	mu sync.Mutex
	// runningOn maps each running task to its start event.
	runningOn map[string]worker.AttemptEvent
	// completions counts how often each task succeeded.
	completions map[string]int
	// maybeUnreported has the tasks that completed on a worker that may have been
	// unable to report it. They may run again.
	maybeUnreported map[string]bool
	// cutOff has the names of the workers that may be unable to report a
	// completion because of an injected fault.
	cutOff map[string]bool
	// completedBy maps each completed task to the worker that completed it last.
	completedBy map[string]string
	// starts counts the starts of each task. resumed is the number of starts of
	// all tasks from a checkpoint.
	starts  map[string]int
	resumed int
	// violations describes each violation of P2, P3 or P4.
	violations []string
	// startDeadline is the time after which each start violates P4; 0 means that
	// starts are allowed.
	startDeadline model.Instant
}

func newAttemptLog() *attemptLog {
	return &attemptLog{
		runningOn: map[string]worker.AttemptEvent{}, completions: map[string]int{}, starts: map[string]int{},
		maybeUnreported: map[string]bool{}, cutOff: map[string]bool{}, completedBy: map[string]string{},
	}
}

// add records an event and checks it. It is the OnAttemptEvent of the workers.
func (al *attemptLog) add(ev worker.AttemptEvent) {
	al.mu.Lock()
	defer al.mu.Unlock()
	key := ev.Task()
	if ev.State() == "running" {
		if cur, ok := al.runningOn[key]; ok {
			al.violations = append(al.violations, fmt.Sprintf("P2: attempt %d of %s started on %s while attempt %d runs on %s",
				ev.Attempt(), key, ev.Worker(), cur.Attempt(), cur.Worker()))
		}
		if al.completions[key] > 0 && !al.maybeUnreported[key] {
			al.violations = append(al.violations, "P3: "+key+" started again after it was complete")
		}
		if al.startDeadline > 0 && ev.At() > al.startDeadline {
			al.violations = append(al.violations, "P4: "+key+" started after its data centre was taken out")
		}
		al.runningOn[key] = ev
		al.starts[key]++
		if ev.ResumedFrom() > 0 {
			al.resumed++
		}
		return
	}
	delete(al.runningOn, key)
	if ev.State() == "succeeded" {
		al.completions[key]++
		al.completedBy[key] = ev.Worker()
		al.maybeUnreported[key] = al.maybeUnreported[key] || al.cutOff[ev.Worker()]
	}
}

// setCutOff records that the named worker may be unable to report from now on. finished
// has the tasks that the scheduler has recorded as finished. A task whose completion is
// never reported may run again once its lease has expired.
func (al *attemptLog) setCutOff(name string, finished map[string]bool) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.cutOff[name] = true
	for key, by := range al.completedBy {
		if by == name && !finished[key] {
			al.maybeUnreported[key] = true
		}
	}
}

// finishedTasks returns the tasks of a job that the scheduler has recorded as finished.
func finishedTasks(clu *cluster, v *vm, job string) map[string]bool {
	out := map[string]bool{}
	clu.waitUntil("the job is shown", func() bool {
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

// completedTasks returns the number of tasks of a job that completed on a worker,
// whether or not the worker has reported it.
func (al *attemptLog) completedTasks(job string) (num int) {
	al.mu.Lock()
	defer al.mu.Unlock()
	for key := range al.completions {
		if strings.HasPrefix(key, job+"/") {
			num++
		}
	}
	return num
}

// check fails the test if there are violations.
func (al *attemptLog) check(t *testing.T) {
	t.Helper()
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, vio := range al.violations {
		t.Error(vio)
	}
	for _, key := range slices.Sorted(maps.Keys(al.completions)) {
		if al.completions[key] != 1 && !al.maybeUnreported[key] {
			t.Errorf("P3: %s was completed %d times", key, al.completions[key])
		}
	}
}

// startWorkers starts num workers with two CPU cores, named w-0, w-1 and so on, which
// report to the VMs of clu. Their tasks take runTime. Their attempt events go to al.
func startWorkers(t *testing.T, clu *cluster, num int, clock host.Clock, al *attemptLog, runTime time.Duration) []*worker.Worker {
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
			Size: model.NewResources(2000, 4096, 0), Addresses: adrs, Clock: clock, OnAttemptEvent: al.add,
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

// Guards against a task that runs in two places (P2), is lost, or runs again after it
// completed (P3), while the VMs are killed and frozen one by one, and workers are lost,
// partitioned or fail all tasks for longer than a task's lease.
func TestP2P3TasksRunOnce(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	clock := host.NewClock()
	al := newAttemptLog()
	wrks := startWorkers(t, clu, 4, clock, al, 2*time.Second)
	const tasks = 40
	clu.mustRun(clu.vms[0], "job", "submit", "recon", "--team", "stock", "--tasks", fmt.Sprint(tasks), "--cpu", "1", "--memory-mb", "512")
	for i, v := range clu.vms {
		clu.waitUntil("tasks run", func() bool { return al.completedTasks("recon") >= 4*(i+1) })
		finished := finishedTasks(clu, v, "recon")
		clu.kill(v)
		al.setCutOff(fmt.Sprintf("w-%d", i), finished)
		wrks[i].SetFaults([]worker.Faults{worker.VMLost, worker.Partitioned, worker.FailTasks}[i], true)
		time.Sleep(time.Second)
		clu.start(v)
		clu.waitReady(v)
		clu.signal(v, syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		clu.signal(v, syscall.SIGCONT)
	}
	time.Sleep(12 * time.Second)
	for i, fas := range []worker.Faults{worker.VMLost, worker.Partitioned, worker.FailTasks} {
		wrks[i].SetFaults(fas, false)
	}
	clu.waitUntil("all tasks are complete", func() bool {
		job, ok := get[rest.Job](clu.vms[0], rest.PathJobs+"/recon")
		return ok && job.Counts.Finished == tasks
	})
	al.check(t)
	if num := al.completedTasks("recon"); num != tasks {
		t.Errorf("%d of %d tasks completed", num, tasks)
	}
}

// noStartAfter is the time after which no task may start in a data centre that was
// taken out of service.
const noStartAfter = 3 * time.Second

// Guards against a task that starts in a data centre more than 3 s after operators took
// it out of service (P4), even when the command cannot reach that data centre.
func TestP4NoStartInACentreTakenOut(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	clock := host.NewClock()
	al := newAttemptLog()
	// The workers report to the first VM only, which is the VM of their data centre.
	local := &cluster{t: t, dir: clu.dir, vms: clu.vms[:1]}
	startWorkers(t, local, 3, clock, al, 300*time.Millisecond)
	clu.mustRun(clu.vms[0], "job", "submit", "alloc", "--team", "fleet", "--tasks", "2000", "--cpu", "1", "--memory-mb", "512")
	clu.waitUntil("tasks run", func() bool { return al.completedTasks("alloc") > 5 })
	// The VM is frozen from before the command until noStartAfter has passed, so
	// the data centre doesn't receive the command in that time.
	clu.signal(clu.vms[0], syscall.SIGSTOP)
	clu.mustRun(clu.vms[1], "centre", "out", "musanze")
	al.mu.Lock()
	al.startDeadline = clock().Add(noStartAfter)
	al.mu.Unlock()
	time.Sleep(noStartAfter)
	clu.signal(clu.vms[0], syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	before := al.completedTasks("alloc")
	al.check(t)
	al.mu.Lock()
	al.startDeadline = 0
	al.mu.Unlock()
	clu.mustRun(clu.vms[1], "centre", "in", "musanze")
	clu.waitUntil("tasks run again", func() bool { return al.completedTasks("alloc") > before+5 })
	al.check(t)
}

// Guards against a job that fails because of a worker that fails every task (F8), in a
// small data centre: with one such worker of three, the only job must still finish,
// while that worker is in quarantine.
func TestF8BadWorkerDoesNotEndAGoodJob(t *testing.T) {
	clu := newCluster(t, "riga-a-1")
	al := newAttemptLog()
	wrks := startWorkers(t, clu, 3, host.NewClock(), al, 2*time.Second)
	wrks[0].SetFaults(worker.FailTasks, true)
	const tasks = 30
	// With all of the data centre available to batch, the other two workers are
	// full and only the failing one has free capacity.
	clu.mustRun(clu.vms[0], "preset", "create", "full", "--batch-share", "100")
	clu.mustRun(clu.vms[0], "preset", "switch", "full")
	clu.mustRun(clu.vms[0], "job", "submit", "stock-1", "--team", "stock", "--tasks", fmt.Sprint(tasks), "--cpu", "1", "--memory-mb", "512")
	clu.waitUntil("the failing worker is in quarantine", func() bool {
		lis, _ := get[rest.WorkerList](clu.vms[0], rest.PathWorkers)
		return slices.ContainsFunc(lis.Workers, func(wor rest.Worker) bool { return wor.Name == "w-0" && wor.State == "quarantined" })
	})
	t.Log(clu.mustRun(clu.vms[0], "worker", "list"))
	t.Log(clu.mustRun(clu.vms[0], "job", "show", "stock-1"))
	clu.waitUntil("all tasks are complete", func() bool {
		job, ok := get[rest.Job](clu.vms[0], rest.PathJobs+"/stock-1")
		if ok && job.Counts.Failed > 0 {
			t.Fatalf("the job failed: %s", job.Reason)
		}
		return ok && job.Counts.Finished == tasks
	})
	al.check(t)
}
