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
		if wk := pl.chooseWorker(now, rs, id, nil); wk == nil {
			b.Fatal("no worker")
		}
	}
}

// BenchmarkPlanOverfull measures a plan in which nothing finds room: 350 workers
// are full of long-running tasks, tasks of 60 more jobs have lost their workers,
// and 200 other jobs wait.
func BenchmarkPlanOverfull(b *testing.B) {
	const workers, lost, longRunning, ordinary = 450, 100, 160, 200
	var st State
	pl := NewPlanner(&st, Config{})
	now := model.Instant(time.Second)
	pl.Step(now, BecameLeader{Term: 1, LeaseUntil: model.Instant(time.Hour)})
	for i := range workers {
		pl.Step(now, Heartbeat{
			HeartbeatID: uint64(i + 1), Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", i)), 1), Sequence: 1, Service: "svc", Centre: "a",
			Address: fmt.Sprint("a", i), Size: model.NewResources(32000, 128000, 0),
		})
	}
	apply := func(ops ...Op) {
		for _, op := range ops {
			pl.Step(now, Applied{Op: op, Verdict: st.Apply(op)})
		}
	}
	submit := func(name string, step StepSpec) {
		jo, err := NewJob(JobSpec{ID: model.JobID(name), Service: "svc", Steps: []StepSpec{step}, ObjectiveFactor: 2, ObjectiveBase: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		apply(Submit(jo))
	}
	next := 0
	for j := range longRunning {
		name := fmt.Sprint("long", j)
		submit(name, StepSpec{Tasks: 14, Size: model.NewResources(6000+int64(j%10)*100, 13000, 0), LongRunning: true})
		for i := range 14 {
			apply(Start(NewTaskID(model.JobID(name), 0, 0, i), 1, NewIncarnation(model.WorkerID(fmt.Sprint("w", next%workers)), 1)))
			next++
		}
	}
	for i := range lost {
		pl.Step(now, Leave{Worker: model.WorkerID(fmt.Sprint("w", i))})
	}
	for j := range longRunning {
		for i := range 14 {
			if (j*14+i)%workers < lost {
				apply(End(NewTaskID(model.JobID(fmt.Sprint("long", j)), 0, 0, i), 1, Lost, ""))
			}
		}
	}
	for j := range ordinary {
		submit(fmt.Sprint("short", j), StepSpec{Tasks: 10, Size: model.NewResources(3500+int64(j%20)*200, 7000, 0), Estimate: time.Second})
	}
	now = now.Add(time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		pl.plan(now)
		pl.effects = nil
	}
}
