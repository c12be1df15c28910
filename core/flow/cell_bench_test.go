package flow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavarail/core/model"
)

// commitDelay is the time from a proposal until benchCell applies it.
const commitDelay = 10 * time.Millisecond

// benchCell is a planner with workers that send heartbeats and follow orders, in
// virtual time. Its workers are full, and many tasks wait: for each 350 workers
// 140 restarts of 20 long-running jobs and 1,600 tasks of 150 other jobs with
// three priorities. Each worker has about 20 runs.
type benchCell struct {
	tb      testing.TB
	rng     *rand.Rand
	st      State
	pl      *Planner
	now     model.Instant
	ticked  model.Instant
	workers []*benchWorker
	// next is the index of the worker that sends the next heartbeat.
	next int
	// pending is the last proposal, which is applied at commitAt; nil for none.
	pending  []Op
	commitAt model.Instant
	queue    []Effect
	// decided is called for each Propose effect, if it is set.
	decided func(ops []Op)
	// submitted counts the jobs of submitOne. openJobs is the number of open jobs
	// below which further ones are submitted.
	submitted, openJobs int
	// workspaces is the number of workspaces that own the jobs, 0 for jobs without one,
	// and owners counts the jobs that have got one.
	workspaces, owners int
}

// benchWorker is a worker of a benchCell.
type benchWorker struct {
	// index is that of the worker in benchCell.workers.
	index       uint64
	incarnation Incarnation
	sequence    uint64
	labels      []string
	centre      string
	size        model.Resources
	runs        []benchRun
	ended       []EndReport
	lastEnd     uint64
}

// benchRun is a run on a benchWorker. spec is that of its step.
type benchRun struct {
	report    RunReport
	spec      *StepSpec
	startedAt model.Instant
}

// newBenchCell returns a cell with a number of workers that is a multiple of 50.
func newBenchCell(tb testing.TB, seed uint64, workers int) *benchCell {
	return newSharedBenchCell(tb, seed, workers, 0)
}

// newSharedBenchCell returns a cell whose jobs belong to a number of workspaces.
func newSharedBenchCell(tb testing.TB, seed uint64, workers, workspaces int) *benchCell {
	bc := &benchCell{tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), now: model.Instant(time.Second), workspaces: workspaces}
	bc.pl = NewPlanner(&bc.st, Config{})
	bc.step(BecameLeader{Term: 1, LeaseUntil: model.Instant(1000 * time.Hour), Wall: bc.wall()})
	// A proposal in progress holds up plans until the cell is complete.
	bc.pl.proposing = true
	for i := range workers {
		bc.workers = append(bc.workers, &benchWorker{
			index: uint64(i), incarnation: NewIncarnation(model.WorkerID(fmt.Sprintf("w-%05d", i)), 1), centre: fmt.Sprint("centre", i%3),
			labels: []string{fmt.Sprint("label", i%4)}, size: model.NewResources(37000, 140000, int64(i%8/7)),
		})
		bc.heartbeat(bc.workers[i])
	}
	bc.fill(workers)
	bc.openJobs = len(bc.pl.openJobs) + workers*150/350
	bc.submitWaiting()
	bc.step(ProposalEnded{Term: 1, Applied: true})
	return bc
}

func (bc *benchCell) wall() int64 { return time.Duration(bc.now).Milliseconds() }

func (bc *benchCell) submit(name string, priority int, steps ...StepSpec) {
	workspace := model.WorkspaceID("")
	if bc.workspaces > 0 {
		workspace = model.WorkspaceID(fmt.Sprint("workspace", bc.owners%bc.workspaces))
		bc.owners++
	}
	jo, err := NewJob(JobSpec{
		ID: model.JobID(name), Service: "svc", Workspace: workspace, Priority: priority, Steps: steps, ObjectiveFactor: 2, ObjectiveBase: time.Second, AcceptedMs: bc.wall(),
	})
	if err != nil {
		bc.tb.Fatal(err)
	}
	bc.apply(Submit(jo))
}

func (bc *benchCell) apply(op Op) { bc.step(Applied{Op: op, Verdict: bc.st.Apply(op)}) }

// fill starts runs on all workers: 6 long-running ones of 60 jobs, some of which
// have lost tasks, 2 short ones and 12 fillers.
func (bc *benchCell) fill(workers int) {
	long := workers * 6 / 60
	lost := workers * 7 / 350
	for j := range 60 {
		spec := StepSpec{
			Tasks: long, Size: model.NewResources(5200+int64(j%20)*40, 10000+int64(j%20)*200, 0), LongRunning: true, Image: fmt.Sprint("long", j%5),
			PerWorker: j % 2 * 4,
		}
		if j%3 != 2 {
			spec.TailTarget = 100 * time.Millisecond
		}
		if j < 20 {
			spec.Tasks += lost
			spec.Size = model.NewResources(6000+int64(j)*150, 11000+int64(j)*300, 0)
		}
		bc.submit(fmt.Sprint("long", j), 0, spec)
	}
	for k := range 2 {
		bc.submit(fmt.Sprint("short", k), 1, StepSpec{Tasks: workers, Size: model.NewResources(300, 1000, 0), Estimate: 10 * time.Second})
	}
	for k := range 12 {
		bc.submit(fmt.Sprint("filler", k), 2, StepSpec{
			Tasks: workers, Size: model.NewResources(1500, 4000, 0), Estimate: 30 * time.Second, Filler: true, Checkpoints: true, Image: "filler",
		})
	}
	for i, wk := range bc.workers {
		for k := range 6 {
			bc.start(wk, fmt.Sprint("long", (i*6+k)/long), (i*6+k)%long)
		}
		for k := range 2 {
			bc.start(wk, fmt.Sprint("short", k), i)
		}
		for k := range 12 {
			bc.start(wk, fmt.Sprint("filler", k), i)
		}
	}
	for j := range 20 {
		for i := range lost {
			id := NewTaskID(model.JobID(fmt.Sprint("long", j)), 0, 0, long+i)
			bc.apply(Start(id, 1, bc.workers[i].incarnation))
			bc.apply(End(id, 1, Lost, ""))
		}
	}
}

// start starts a run and lets the worker have it at once.
func (bc *benchCell) start(wk *benchWorker, name string, index int) {
	id := NewTaskID(model.JobID(name), 0, 0, index)
	bc.apply(Start(id, 1, wk.incarnation))
	wk.runs = append(wk.runs, bc.newRun(id, 1))
}

func (bc *benchCell) newRun(id TaskID, attempt int) benchRun {
	spec := &bc.st.jobs[id.job].spec.Steps[id.step]
	// Runs that start together don't end together.
	age := time.Duration(bc.rng.Int64N(1 + int64(spec.Estimate)/2))
	return benchRun{report: RunReport{Task: id, Attempt: attempt}, spec: spec, startedAt: bc.now.Add(-age)}
}

// submitWaiting submits jobs whose tasks wait until there are as many as at
// first.
func (bc *benchCell) submitWaiting() {
	for len(bc.pl.openJobs) < bc.openJobs {
		bc.submitOne(bc.submitted)
		bc.submitted++
	}
}

// submitOne submits the job with a number.
func (bc *benchCell) submitOne(num int) {
	spec := StepSpec{
		Tasks: 5 + num%12, Size: model.NewResources(400+int64(bc.rng.IntN(60))*100, 1000+int64(bc.rng.IntN(130))*100, 0),
		Estimate: time.Duration(300+bc.rng.IntN(3000)) * time.Millisecond, Checkpoints: num%5 == 0, Image: fmt.Sprint("image", num%7),
	}
	switch num % 10 {
	case 1:
		spec.Filler, spec.Tasks = true, 40
	case 3:
		spec.RequiredLabel = fmt.Sprint("label", num%4)
	case 5:
		spec.PerWorker = 2
	case 7:
		spec.Gang, spec.Tasks = true, 4
	case 9:
		spec.LongRunning, spec.TailTarget = true, 80*time.Millisecond
	}
	last := spec
	last.After, last.Gang, last.LongRunning, last.TailTarget = []int{0}, false, false, 0
	bc.submit(fmt.Sprint("waits", num), num%3, spec, last)
}

// advance lets one worker send a heartbeat and time pass until the next.
func (bc *benchCell) advance() {
	bc.now = bc.now.Add(bc.pl.heartbeatDelay() / time.Duration(len(bc.workers)))
	if bc.pending != nil && !bc.now.Before(bc.commitAt) {
		ops := bc.pending
		bc.pending = nil
		for _, op := range ops {
			bc.apply(op)
		}
		bc.step(ProposalEnded{Term: 1, Applied: true})
		bc.submitWaiting()
	}
	if bc.now.Sub(bc.ticked) >= TickInterval {
		bc.ticked = bc.now
		bc.step(Tick{LeaseUntil: model.Instant(1000 * time.Hour), Wall: bc.wall()})
	}
	bc.heartbeat(bc.workers[bc.next])
	bc.next = (bc.next + 1) % len(bc.workers)
}

// heartbeat sends the heartbeat of a worker.
func (bc *benchCell) heartbeat(wk *benchWorker) {
	wk.sequence++
	hb := Heartbeat{
		HeartbeatID: wk.index, Incarnation: wk.incarnation, Sequence: wk.sequence, Service: "svc", Centre: model.CentreID(wk.centre),
		Address: string(wk.incarnation.worker), Size: wk.size, Labels: wk.labels, Rack: "rack",
	}
	kept := wk.runs[:0]
	for _, br := range wk.runs {
		age := bc.now.Sub(br.startedAt)
		if !br.spec.LongRunning && age >= br.spec.Estimate {
			wk.lastEnd++
			wk.ended = append(wk.ended, EndReport{Number: wk.lastEnd, Task: br.report.Task, Attempt: br.report.Attempt, Outcome: Succeeded})
			continue
		}
		br.report.Percent = fullPace
		if !br.spec.LongRunning {
			br.report.Percent = int(age * fullPace / br.spec.Estimate)
		}
		br.report.Reading = 200 + float64(bc.rng.IntN(500))
		if br.spec.serves() {
			br.report.Reading = 20 + float64(bc.rng.IntN(40))
		}
		hb.Runs = append(hb.Runs, br.report)
		kept = append(kept, br)
	}
	wk.runs = kept
	hb.Ended = append(hb.Ended, wk.ended...)
	bc.step(hb)
}

func (bc *benchCell) step(in Input) {
	for _, eff := range bc.pl.Step(bc.now, in) {
		switch eff := eff.(type) {
		case Propose:
			if bc.decided != nil {
				bc.decided(eff.Ops)
			}
			bc.pending, bc.commitAt = eff.Ops, bc.now.Add(commitDelay)
		case Answer:
			bc.follow(bc.workers[eff.HeartbeatID], &eff)
		}
	}
}

// follow carries out the orders of an answer.
func (bc *benchCell) follow(wk *benchWorker, ans *Answer) {
	kept := wk.ended[:0]
	for _, er := range wk.ended {
		if er.Number > ans.Acknowledged {
			kept = append(kept, er)
		}
	}
	wk.ended = kept
	for _, so := range ans.Starts {
		wk.runs = append(wk.runs, bc.newRun(so.Task, so.Attempt))
	}
	for _, so := range ans.Stops {
		for i := range wk.runs {
			if wk.runs[i].report.Task == so.Task && wk.runs[i].report.Attempt == so.Attempt {
				wk.lastEnd++
				wk.ended = append(wk.ended, EndReport{Number: wk.lastEnd, Task: so.Task, Attempt: so.Attempt, Outcome: Stopped})
				wk.runs = append(wk.runs[:i], wk.runs[i+1:]...)
				break
			}
		}
	}
}

// BenchmarkPlanWaiting measures one plan in a full cell in which many tasks wait,
// by the number of workers.
func BenchmarkPlanWaiting(b *testing.B) {
	for _, workers := range []int{350, 3200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			bc := newBenchCell(b, 1, workers)
			for range 700 {
				bc.advance()
			}
			bc.pl.plan(bc.now)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				bc.pl.plan(bc.now)
				bc.pl.effects = nil
			}
		})
	}
}

// BenchmarkHeartbeatWaiting measures the steps of the planner for each heartbeat
// in a full cell in which many tasks wait, by the number of workers: the
// heartbeat itself, and its share of the ticks, plans and applied operations. It
// includes the simulated workers.
func BenchmarkHeartbeatWaiting(b *testing.B) {
	for _, workers := range []int{350, 3200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			bc := newBenchCell(b, 1, workers)
			for range 700 {
				bc.advance()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				bc.advance()
			}
		})
	}
}
