package cell

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
)

// benchSpan is how long BenchmarkLeaderLoad measures each rate.
const benchSpan = 6 * time.Second

// benchWorker is a worker of BenchmarkLeaderLoad. Its goroutine owns it.
type benchWorker struct {
	num      int
	sequence uint64
	runs     []flow.RunReport
	// answered has the times to the answers that renewed the lease, and sent the number
	// of heartbeats.
	answered []time.Duration
	sent     int
}

// heartbeat sends one heartbeat and carries out the starts in the answer.
func (wk *benchWorker) heartbeat(ctx context.Context, lea Leader) {
	wk.sequence++
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	start := time.Now()
	ans, err := lea.Heartbeat(ctx, flow.Heartbeat{
		Incarnation: flow.NewIncarnation(model.WorkerID(fmt.Sprint("w", wk.num)), 1), Sequence: wk.sequence, Service: "svc", Centre: "a",
		Address: fmt.Sprint("w", wk.num), Size: model.NewResources(37000, 140000, 0), Runs: slices.Clone(wk.runs),
	})
	wk.sent++
	if err != nil || ans.LeaseDuration == 0 {
		return
	}
	wk.answered = append(wk.answered, time.Since(start))
	for _, ord := range ans.Starts {
		wk.runs = append(wk.runs, flow.RunReport{Task: ord.Task, Attempt: ord.Attempt, Percent: 100})
	}
}

// submitLoad submits jobs that fill the workers with 6 runs each, and others whose tasks
// wait.
func submitLoad(b *testing.B, lea Leader, workers int) {
	var ops []flow.Op
	add := func(name string, steps ...flow.StepSpec) {
		jo, err := flow.NewJob(flow.JobSpec{ID: model.JobID(name), Service: "svc", Steps: steps, ObjectiveFactor: 2, ObjectiveBase: time.Second, AcceptedMs: time.Now().UnixMilli()})
		if err != nil {
			b.Fatal(err)
		}
		ops = append(ops, flow.Submit(jo))
	}
	for num := range 60 {
		add(fmt.Sprint("long", num), flow.StepSpec{Tasks: workers / 10, Size: model.NewResources(6000, 10000, 0), LongRunning: true, PerWorker: num % 2 * 4})
	}
	for num := range workers * 150 / 350 {
		add(fmt.Sprint("waits", num), flow.StepSpec{Tasks: 5 + num%12, Size: model.NewResources(2000+int64(num%60)*100, 1000, 0), Estimate: time.Second, Image: fmt.Sprint("image", num%7)})
	}
	if _, err := lea.Propose(b.Context(), cell.Jobs(ops...)); err != nil {
		b.Fatal(err)
	}
}

// percentile returns the value below which the given percentage of durations lies, in
// milliseconds.
func percentile(durs []time.Duration, percent int) float64 {
	if len(durs) == 0 {
		return 0
	}
	slices.Sort(durs)
	return float64(durs[(len(durs)-1)*percent/100].Microseconds()) / 1000
}

// probe calls fn every 50 ms until ctx ends and returns the durations.
func probe(ctx context.Context, fn func() error) []time.Duration {
	var out []time.Duration
	for ctx.Err() == nil {
		start := time.Now()
		if fn() == nil {
			out = append(out, time.Since(start))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return out
}

// BenchmarkLeaderLoad measures a leader without followers whose workers are full, while
// many tasks wait, by the number of workers and of heartbeats that each sends in a second
// unless one is unanswered: answers, commits of other commands, reads, and the highest
// age of the oldest input that a tick has seen.
func BenchmarkLeaderLoad(b *testing.B) {
	for _, workers := range []int{350, 1100} {
		for _, rate := range []int{1, 4, 16, 64, 128, 256} {
			b.Run(fmt.Sprintf("workers=%d/rate=%d", workers, rate), func(b *testing.B) {
				lea, _ := startCell(b, &refusingFS{}).AsLeader()
				configure(b, lea, 1)
				submitLoad(b, lea, workers)
				wks := make([]benchWorker, workers)
				runWorkers(b, lea, wks, 4, 2*benchSpan)
				for num := range wks {
					wks[num].sent, wks[num].answered = 0, nil
				}
				measureLoad(b, lea, wks, rate)
			})
		}
	}
}

// measureLoad reports the metrics of BenchmarkLeaderLoad for one rate.
func measureLoad(b *testing.B, lea Leader, wks []benchWorker, rate int) {
	ctx, cancel := context.WithTimeout(b.Context(), benchSpan)
	defer cancel()
	probes := map[string]func() error{
		"commit": func() error { return lea.SetCentreOut(ctx, "other", false) },
		"read": func() error {
			_, err := View(ctx, lea, func(*cell.State) bool { return true })
			return err
		},
	}
	var wg sync.WaitGroup
	times := make(chan func(), len(probes))
	for name, fn := range probes {
		wg.Go(func() {
			durs := probe(ctx, fn)
			times <- func() {
				b.ReportMetric(percentile(durs, 50), name+"50-ms")
				b.ReportMetric(percentile(durs, 99), name+"99-ms")
			}
		})
	}
	oldest := int64(0)
	wg.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			oldest = max(oldest, queueAge.Value())
		}
	})
	runWorkers(b, lea, wks, rate, benchSpan)
	wg.Wait()
	for range probes {
		(<-times)()
	}
	var answered []time.Duration
	sent := 0
	for num := range wks {
		answered = append(answered, wks[num].answered...)
		sent += wks[num].sent
	}
	b.ReportMetric(float64(sent)/benchSpan.Seconds(), "sent/s")
	b.ReportMetric(float64(len(answered))/benchSpan.Seconds(), "answered/s")
	b.ReportMetric(percentile(answered, 50), "answer50-ms")
	b.ReportMetric(percentile(answered, 99), "answer99-ms")
	b.ReportMetric(float64(oldest), "oldest-ms")
	b.ReportMetric(0, "ns/op")
}

// runWorkers lets the workers send rate heartbeats a second each for a span of time.
func runWorkers(b *testing.B, lea Leader, wks []benchWorker, rate int, span time.Duration) {
	ctx, cancel := context.WithTimeout(b.Context(), span)
	defer cancel()
	period := time.Second / time.Duration(rate)
	var wg sync.WaitGroup
	for num := range wks {
		wk := &wks[num]
		wk.num = num
		wg.Go(func() {
			next := time.Now().Add(period * time.Duration(num) / time.Duration(len(wks)))
			for ctx.Err() == nil {
				time.Sleep(time.Until(next))
				next = next.Add(period)
				if late := time.Since(next); late > 0 {
					next = time.Now()
				}
				wk.heartbeat(ctx, lea)
			}
		})
	}
	wg.Wait()
}
