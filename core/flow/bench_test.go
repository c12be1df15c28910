package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// BenchmarkStart measures the choice of a worker for one task, by the number of
// workers in the cell.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 200, 800, 3200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchStart(b, workers) })
	}
}

func benchStart(b *testing.B, workers int) {
	var st State
	pl := NewPlanner(&st, Config{})
	now := model.Instant(time.Second)
	until := model.Instant(time.Hour)
	pl.Step(now, BecameLeader{Term: 1, LeaseUntil: until})
	heartbeat := func(i int, seq uint64) Heartbeat {
		return Heartbeat{
			Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", i)), 1), Sequence: seq, Service: "svc", Centre: "a",
			Address: fmt.Sprint("a", i), Size: model.NewResources(1<<40, 1<<40, 0),
		}
	}
	for i := range workers {
		pl.Step(now, heartbeat(i, 1))
	}
	jo, err := NewJob(JobSpec{ID: "job", Service: "svc", Steps: []StepSpec{{Tasks: maxTasks, Size: model.NewResources(1, 1, 0)}}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	rs := readyStep{}
	for i := range b.N {
		if i%maxTasks == 0 {
			jb := &job{Job: jo, occurrences: map[int]*occurrence{}}
			rs = readyStep{job: jb, occ: jb.occurrence(0), spec: &jo.spec.Steps[0]}
		}
		id := NewTaskID("job", 0, 0, i%maxTasks)
		cho := pl.newChooser(now, rs, nil)
		if wk := cho.next(id); wk == nil {
			b.Fatal("no worker")
		}
	}
}

// BenchmarkPlanOverfull measures a plan in which nothing finds room: 350 workers
// are full of long-running tasks, short tasks and fillers, some long-running
// tasks of 160 jobs have lost their workers, and 200 other jobs wait.
func BenchmarkPlanOverfull(b *testing.B) {
	const workers, lost, longRunning, ordinary = 450, 100, 160, 200
	var st State
	pl := NewPlanner(&st, Config{})
	now := model.Instant(time.Second)
	pl.Step(now, BecameLeader{Term: 1, LeaseUntil: model.Instant(time.Hour)})
	for i := range workers {
		pl.Step(now, Heartbeat{
			HeartbeatID: uint64(i + 1), Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", i)), 1), Sequence: 1, Service: "svc", Centre: "a",
			Address: fmt.Sprint("a", i), Size: model.NewResources(37000, 128000, 0),
		})
	}
	apply := func(op Op) { pl.Step(now, Applied{Op: op, Verdict: st.Apply(op)}) }
	submit := func(name string, priority int, step StepSpec) {
		jo, err := NewJob(JobSpec{
			ID: model.JobID(name), Service: "svc", Priority: priority, Steps: []StepSpec{step}, ObjectiveFactor: 2, ObjectiveBase: time.Second,
		})
		if err != nil {
			b.Fatal(err)
		}
		apply(Submit(jo))
	}
	start := func(name string, index, worker int) {
		apply(Start(NewTaskID(model.JobID(name), 0, 0, index), 1, NewIncarnation(model.WorkerID(fmt.Sprint("w", worker)), 1)))
	}
	for j := range longRunning {
		name := fmt.Sprint("long", j)
		submit(name, 0, StepSpec{Tasks: 14, Size: model.NewResources(6000+int64(j%10)*100, 13000, 0), LongRunning: true, PerWorker: j % 2 * 4})
		for i := range 14 {
			start(name, i, (j*14+i)%workers)
		}
	}
	submit("short", 0, StepSpec{Tasks: workers, Size: model.NewResources(3000, 1000, 0), Estimate: time.Second})
	submit("filler", 2, StepSpec{Tasks: 4 * workers, Size: model.NewResources(3000, 6000, 0), Estimate: time.Second, Filler: true})
	for i := range workers {
		start("short", i, i)
		for k := range 4 {
			start("filler", 4*i+k, i)
		}
	}
	for i := range lost {
		pl.Step(now, Heartbeat{
			HeartbeatID: uint64(i + 1), Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", i)), 1), Sequence: 2, Service: "svc", Centre: "a",
			Address: fmt.Sprint("a", i), Draining: true,
		})
		pl.Step(now, Leave{Worker: model.WorkerID(fmt.Sprint("w", i))})
	}
	for j := range longRunning {
		for i := range 14 {
			if (j*14+i)%workers < lost {
				apply(End(NewTaskID(model.JobID(fmt.Sprint("long", j)), 0, 0, i), 1, Lost, ""))
			}
		}
	}
	// On each tenth worker a long-running task has room beside the others.
	for i := lost; i < workers; i += 10 {
		apply(End(NewTaskID(model.JobID(fmt.Sprint("long", i/14)), 0, 0, i%14), 1, Lost, ""))
	}
	for j := range ordinary {
		submit(fmt.Sprint("waits", j), 0, StepSpec{Tasks: 10, Size: model.NewResources(6500+int64(j%20)*200, 7000, 0), Estimate: time.Second})
	}
	now = now.Add(2500 * time.Millisecond)
	pl.plan(now)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		pl.plan(now)
		pl.effects = nil
	}
}
