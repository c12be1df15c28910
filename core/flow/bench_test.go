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
