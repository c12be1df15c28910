package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// BenchmarkEnd measures a heartbeat that reports the end of a run, and the
// application of that end, while each worker has an open heartbeat and 20 runs and
// a proposal is under way.
func BenchmarkEnd(b *testing.B) {
	const runsPerWorker = 20
	for _, workers := range []int{50, 350, 3200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchEnd(b, workers, runsPerWorker) })
	}
}

func benchEnd(b *testing.B, workers, runsPerWorker int) {
	var st State
	pl := NewPlanner(&st, Config{})
	now := model.Instant(time.Second)
	until := model.Instant(time.Hour)
	pl.Step(now, BecameLeader{Term: 1, LeaseUntil: until})
	heartbeat := func(i int, seq uint64, ended ...EndReport) Heartbeat {
		return Heartbeat{
			HeartbeatID: seq*uint64(workers) + uint64(i), Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", i)), 1), Sequence: seq, Service: "svc",
			Centre: "a", Address: fmt.Sprint("a", i), Size: model.NewResources(1<<30, 1<<30, 0), Ended: ended,
		}
	}
	for i := range workers {
		pl.Step(now, heartbeat(i, 1))
	}
	apply := func(op Op) { pl.Step(now, Applied{Op: op, Verdict: st.Apply(op)}) }
	for j := range runsPerWorker {
		name := model.JobID(fmt.Sprint("job", j))
		jo, err := NewJob(JobSpec{ID: name, Service: "svc", Steps: []StepSpec{{Tasks: workers, Size: model.NewResources(1, 1, 0), LongRunning: true}}})
		if err != nil {
			b.Fatal(err)
		}
		apply(Submit(jo))
	}
	attempts := make([]int, workers*runsPerWorker)
	start := func(pos int) {
		attempts[pos]++
		id := NewTaskID(model.JobID(fmt.Sprint("job", pos/workers)), 0, 0, pos%workers)
		apply(Start(id, attempts[pos], NewIncarnation(model.WorkerID(fmt.Sprint("w", pos%workers)), 1)))
	}
	for pos := range attempts {
		start(pos)
	}
	pl.proposing = true
	seq := uint64(1)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		pos := n % len(attempts)
		if pos == 0 {
			seq++
		}
		id := NewTaskID(model.JobID(fmt.Sprint("job", pos/workers)), 0, 0, pos%workers)
		pl.Step(now, Tick{LeaseUntil: until})
		pl.Step(now, heartbeat(pos%workers, seq+uint64(n), EndReport{Number: uint64(n + 1), Task: id, Attempt: attempts[pos], Outcome: Failed}))
		apply(End(id, attempts[pos], Failed, ""))
		start(pos)
		pl.pendingOps = pl.pendingOps[:0]
	}
}
