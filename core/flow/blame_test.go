package flow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against jobs whose tasks fail at once on every worker and so put sound workers in
// quarantine, one after the other, until other jobs have none.
func TestJobsThatFailEverywhereLeaveWorkersToOthers(t *testing.T) {
	const (
		watched = 30 * time.Second
		maxIdle = time.Second
	)
	for _, workers := range []int{1, 2, 3, 6} {
		for _, bad := range []StepSpec{
			{Tasks: 4, Size: model.NewResources(100, 10, 0), LongRunning: true},
			{Tasks: 4, Size: model.NewResources(100, 10, 0)},
		} {
			har := newHarness(t)
			flt := newFailingFleet(har, workers, func(_ string, id model.JobID) bool { return strings.HasPrefix(string(id), "bad") })
			for i := range 3 {
				har.submitWith(fmt.Sprint("bad", i), bad, 1<<20)
			}
			sound, began, idle, idleSince := 0, har.now, time.Duration(0), har.now
			for har.now.Sub(began) < watched {
				if id := model.JobID(fmt.Sprint("sound", sound)); sound == 0 || flt.started[id] && har.st.jobs[id].status.Final() {
					sound++
					har.submit(fmt.Sprint("sound", sound), StepSpec{Tasks: 1, Size: model.NewResources(100, 10, 0)})
					idleSince = har.now
				}
				flt.tick()
				if !flt.started[model.JobID(fmt.Sprint("sound", sound))] {
					idle = max(idle, har.now.Sub(idleSince))
				}
			}
			t.Logf("%d workers, long-running %v: %d sound jobs, longest wait %v, %d failures", workers, bad.LongRunning, sound, idle, flt.failures)
			if idle > maxIdle {
				t.Errorf("%d workers, long-running %v: a sound job had nothing running for %v, want at most %v", workers, bad.LongRunning, idle, maxIdle)
			}
		}
	}
}

// Guards against a faulty worker that gets tasks again and again, because the jobs that fail
// there are held to be at fault.
func TestFaultyWorkerAmongSoundOnesIsQuarantined(t *testing.T) {
	har := newHarness(t)
	flt := newFailingFleet(har, 4, func(worker string, _ model.JobID) bool { return worker == "w0" })
	for jobs := range 1000 {
		if jobs%5 == 0 {
			har.submit(fmt.Sprint("job", jobs), StepSpec{Tasks: 2, Size: model.NewResources(1000, 100, 0)})
		}
		flt.tick()
	}
	t.Logf("%d failures, %d starts", flt.failures, flt.starts)
	if flt.failures > 30 {
		t.Errorf("%d tasks failed on the faulty worker, want at most 30", flt.failures)
	}
}

// failingFleet has workers on which each run ends 100 ms after its start.
type failingFleet struct {
	har      *harness
	names    []string
	fails    func(worker string, id model.JobID) bool
	runs     map[string][]failingRun
	ends     map[string][]EndReport
	open     map[string]uint64
	next     map[string]model.Instant
	started  map[model.JobID]bool
	number   uint64
	failures int
	starts   int
}

type failingRun struct {
	ord   StartOrder
	until model.Instant
}

func newFailingFleet(har *harness, workers int, fails func(worker string, id model.JobID) bool) *failingFleet {
	flt := &failingFleet{
		har: har, fails: fails, runs: map[string][]failingRun{}, ends: map[string][]EndReport{}, open: map[string]uint64{}, next: map[string]model.Instant{},
		started: map[model.JobID]bool{},
	}
	for num := range workers {
		flt.names = append(flt.names, fmt.Sprint("w", num))
	}
	return flt
}

// tick lets one TickInterval pass.
func (flt *failingFleet) tick() {
	har := flt.har
	har.now = har.now.Add(TickInterval)
	har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	for _, name := range flt.names {
		left := flt.runs[name][:0]
		for _, ru := range flt.runs[name] {
			if har.now.Before(ru.until) {
				left = append(left, ru)
				continue
			}
			flt.number++
			end := EndReport{Number: flt.number, Task: ru.ord.Task, Attempt: ru.ord.Attempt, Outcome: Succeeded}
			if flt.fails(name, ru.ord.Task.Job()) {
				end.Outcome = Failed
				flt.failures++
			}
			flt.ends[name] = append(flt.ends[name], end)
		}
		flt.runs[name] = left
		if flt.open[name] == 0 && !har.now.Before(flt.next[name]) {
			flt.send(name)
		}
	}
	answers := har.answers
	har.answers = nil
	for _, ans := range answers {
		for _, name := range flt.names {
			if flt.open[name] == ans.HeartbeatID {
				flt.receive(name, ans)
			}
		}
	}
}

// send sends the heartbeat of a worker.
func (flt *failingFleet) send(name string) {
	flt.har.sequence++
	flt.open[name] = flt.har.sequence
	var runs []RunReport
	for _, ru := range flt.runs[name] {
		runs = append(runs, RunReport{Task: ru.ord.Task, Attempt: ru.ord.Attempt, Percent: 10})
	}
	flt.har.step(Heartbeat{
		HeartbeatID: flt.har.sequence, Incarnation: NewIncarnation(model.WorkerID(name), 1), Sequence: flt.har.sequence, Service: "svc", Centre: "a",
		Address: name, Size: model.NewResources(4000, 4000, 0), Runs: runs, Ended: flt.ends[name],
	})
}

// receive carries out the answer to the heartbeat of a worker.
func (flt *failingFleet) receive(name string, ans Answer) {
	flt.open[name], flt.next[name] = 0, flt.har.now.Add(50*time.Millisecond)
	flt.ends[name] = slices.DeleteFunc(flt.ends[name], func(er EndReport) bool { return er.Number <= ans.Acknowledged })
	for _, ord := range ans.Starts {
		if slices.ContainsFunc(flt.runs[name], func(ru failingRun) bool { return ru.ord.Task == ord.Task }) {
			continue
		}
		flt.starts++
		flt.started[ord.Task.Job()] = true
		flt.runs[name] = append(flt.runs[name], failingRun{ord: ord, until: flt.har.now.Add(100 * time.Millisecond)})
	}
}
