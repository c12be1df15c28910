package sched

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/place"
)

// newFilledPlanner returns the state and the planner of the leader of a data
// centre with the given numbers of workers and running tasks.
func newFilledPlanner[P place.Policy](tb testing.TB, policy P, workers, tasks int) (*State, *Planner[P]) {
	st := &State{}
	pl := NewPlanner(st, policy)
	ops := make([]Op, 0, workers)
	for i := range workers {
		ops = append(ops, RegisterWorker(workerName(i), fmt.Sprintf("rack-%d", i/8), model.NewResources(32000, 125000, 2)))
	}
	st.Apply(NewCommand(ops...))
	const perJob = 1000
	for jb := 0; jb*perJob < tasks; jb++ {
		addRunningJob(tb, st, jb, min(perJob, tasks-jb*perJob), workers)
	}
	pl.Step(benchNow, BecameLeader{})
	for i := range workers {
		pl.statuses[i].lastReport, pl.statuses[i].reporting = benchNow, true
		pl.updateIndex(int32(i))
	}
	pl.lastTick = TickSpec{LeaseUntil: benchNow.Add(time.Hour), StartUntil: benchNow.Add(time.Hour), Preset: benchPreset(tb)}
	return st, pl
}

const benchNow = model.Instant(time.Minute)

func workerName(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }

func benchPreset(tb testing.TB) model.Preset {
	pre, err := model.NewPreset(model.PresetSpec{Name: "bench", BatchSharePercent: 100})
	if err != nil {
		tb.Fatal(err)
	}
	return pre
}

// addRunningJob submits a job and starts its tasks on the workers in turn.
func addRunningJob(tb testing.TB, st *State, num, tasks, workers int) {
	jo, err := NewJob(JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%d", num)), Team: model.TeamID(fmt.Sprintf("team-%d", num%450)),
		Tasks: tasks, Size: model.NewResources(800, 3000, 0),
	})
	if err != nil {
		tb.Fatal(err)
	}
	ops := []Op{Submit(jo)}
	for i := range tasks {
		tid := model.NewTaskID(jo.ID(), i)
		ops = append(ops, Start(tid, 1, workerName((num*1000+i)%workers), jo.Spec().Size, Checkpoint{}, false), Confirm(tid, 1, Checkpoint{}))
	}
	res := st.Apply(NewCommand(ops...))
	for i := range res.Len() {
		if res.Verdict(i) != Accepted {
			tb.Fatalf("operation %d: %s", i, res.Verdict(i))
		}
	}
}

var benchSizes = []int{100, 1000, 5000, 17000}

// tasksOf returns the number of running tasks for a number of workers: about
// 30 on each, as for 520,000 tasks on 17,000 workers.
func tasksOf(workers int) int { return workers * 520_000 / 17_000 }

func BenchmarkPlacement(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("bestFit/workers=%d", workers), func(b *testing.B) { benchmarkPlacement(b, place.BestFit{}, workers) })
		b.Run(fmt.Sprintf("linearScan/workers=%d", workers), func(b *testing.B) { benchmarkPlacement(b, place.LinearScan{}, workers) })
	}
}

// benchmarkPlacement measures single choices of varying sizes, with the
// reservation. Each reservation is released after 512 more choices, so that the
// data centre stays equally full.
func benchmarkPlacement[P place.Policy](b *testing.B, policy P, workers int) {
	_, pl := newFilledPlanner(b, policy, workers, tasksOf(workers))
	sizes := make([]model.Resources, 997)
	for i := range sizes {
		sizes[i] = model.NewResources(int64(100+i*7), int64(500+i*29), int64(i%50/49))
	}
	latencies := make([]time.Duration, 0, b.N)
	type reservation struct {
		idx  int32
		size model.Resources
	}
	var ring [512]reservation
	misses := 0
	b.ResetTimer()
	for i := range b.N {
		size, start := sizes[i%len(sizes)], time.Now()
		idx, ok := pl.policy.Choose(&pl.index, place.NewRequest(size, model.Batch))
		if !ok || !pl.index.Reserve(idx, size) {
			misses++
			idx, size = 0, model.Resources{}
		}
		latencies = append(latencies, time.Since(start))
		oldest := &ring[i%len(ring)]
		if i >= len(ring) {
			pl.index.Release(oldest.idx, oldest.size)
		}
		*oldest = reservation{idx: idx, size: size}
	}
	b.StopTimer()
	reportLatencies(b, latencies)
	b.ReportMetric(float64(misses)/float64(b.N)*100, "missPercent")
}

func reportLatencies(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[(len(latencies)-1)*99/100].Nanoseconds()), "p99-ns")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// BenchmarkStarts measures whole plans (queue, quotas, fair share, choice and
// command) with the 580 starts of a tick at peak load.
func BenchmarkStarts(b *testing.B) {
	const perTick = 580
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			st, pl := newFilledPlanner(b, place.BestFit{}, workers, tasksOf(workers))
			jo, err := NewJob(JobSpec{ID: "next", Team: "team-1", Tasks: perTick, Size: model.NewResources(100, 100, 0)})
			if err != nil {
				b.Fatal(err)
			}
			cmd := NewCommand(Submit(jo))
			pl.Step(benchNow, NewApplied(cmd, st.Apply(cmd)))
			started := 0
			b.ResetTimer()
			for range b.N {
				ops, placements := pl.plan(benchNow)
				started += len(placements)
				if len(ops) == 0 {
					b.Fatal("no starts")
				}
				b.StopTimer()
				pl.requeue(placements)
				b.StartTimer()
			}
			b.ReportMetric(float64(started)/b.Elapsed().Seconds(), "starts/s")
		})
	}
}

// BenchmarkWaiting measures whole plans while jobs of all teams wait for room:
// with their claims made, and when all claims were used since the last plan.
func BenchmarkWaiting(b *testing.B) {
	for _, workers := range benchSizes {
		for _, used := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/claimsUsed=%v", workers, used), func(b *testing.B) {
				st, pl := newFilledPlanner(b, place.BestFit{}, workers, tasksOf(workers))
				for num := range 450 {
					jo, err := NewJob(JobSpec{
						ID: model.JobID(fmt.Sprintf("large-%d", num)), Team: model.TeamID(fmt.Sprintf("team-%d", num)), Tasks: 10,
						Priority: model.Service, Size: model.NewResources(20000, 100, 0),
					})
					if err != nil {
						b.Fatal(err)
					}
					cmd := NewCommand(Submit(jo))
					pl.Step(benchNow, NewApplied(cmd, st.Apply(cmd)))
				}
				for b.Loop() {
					if used {
						for len(pl.reservations) > 0 {
							pl.endReservation(benchNow, pl.reservations[0], outcomeServed)
						}
					}
					pl.plan(benchNow)
				}
			})
		}
	}
}

// heapInUse returns the size of the live objects on the heap, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkMemory reports the heap of State and Planner together, per worker
// and per running task.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			tasks := tasksOf(workers)
			for range b.N {
				before := heapInUse()
				st, pl := newFilledPlanner(b, place.BestFit{}, workers, 0)
				empty := heapInUse()
				runtime.KeepAlive(st)
				runtime.KeepAlive(pl)
				st, pl = newFilledPlanner(b, place.BestFit{}, workers, tasks)
				full := heapInUse()
				runtime.KeepAlive(st)
				runtime.KeepAlive(pl)
				b.ReportMetric(float64(empty-before)/float64(workers), "B/worker")
				b.ReportMetric(float64(full-empty)/float64(tasks), "B/task")
				b.ReportMetric(float64(full-before)/1e6, "MB")
			}
		})
	}
}

// BenchmarkTick measures a tick without waiting tasks, the cost that every tick
// has.
func BenchmarkTick(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			_, pl := newFilledPlanner(b, place.BestFit{}, workers, tasksOf(workers))
			tck := NewTick(pl.lastTick)
			for b.Loop() {
				pl.Step(benchNow, tck)
			}
		})
	}
}

// BenchmarkReport measures the handling of one report for several numbers of
// running attempts on the worker.
func BenchmarkReport(b *testing.B) {
	for _, tasks := range []int{4, 8, 16, 31} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			_, pl := newFilledPlanner(b, place.BestFit{}, 1000, 1000*tasks)
			var atts []AttemptReport
			for i := range pl.statuses[0].attempts {
				la := &pl.statuses[0].attempts[i]
				atts = append(atts, NewAttemptReport(AttemptSpec{Task: la.ref.id(), Attempt: la.attempt, Usage: la.task().size.resources()}))
			}
			if len(atts) != tasks {
				b.Fatalf("%d attempts on the worker", len(atts))
			}
			num := uint64(0)
			for b.Loop() {
				num++
				pl.Step(benchNow, NewWorkerReport(ReportSpec{Poll: num, Worker: workerName(0), Rack: "rack-0", Size: model.NewResources(32000, 125000, 2), Attempts: atts}))
			}
		})
	}
}

// BenchmarkTakeOver measures how long a new leader takes to rebuild its state.
func BenchmarkTakeOver(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			_, pl := newFilledPlanner(b, place.BestFit{}, workers, tasksOf(workers))
			for b.Loop() {
				pl.Step(benchNow, BecameLeader{})
			}
		})
	}
}
