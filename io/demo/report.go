package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"guavarail/core/model"
	"guavarail/io/fake/caller"
)

// Row is one outcome of a run.
type Row struct {
	// Name is what was measured or checked, with its unit.
	Name string `json:"name"`
	// Value is the result of the run.
	Value string `json:"value"`
	// Want is the expected value; empty for a measurement without a limit.
	Want string `json:"want,omitempty"`
	// OK is true when Value is as expected or Want is empty.
	OK bool `json:"ok"`
}

// Report has the outcomes of a run.
type Report struct {
	User    string  `json:"user"`
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
}

func (rep *Report) add(ok bool, name, value, want string) {
	rep.Rows = append(rep.Rows, Row{Name: name, Value: value, Want: want, OK: ok})
}

func (rep Report) failed() []string {
	var out []string
	for _, row := range rep.Rows {
		if !row.OK {
			out = append(out, row.Name+" is "+row.Value+", want "+row.Want)
		}
	}
	return out
}

// report checks the results of the run and returns its outcomes. It may be called
// once, after play.
func (pla *player) report() Report {
	clu := pla.clu
	took := clu.clock().Sub(pla.startedAt)
	rep := Report{User: clu.trc.site.User, Seconds: seconds(took)}
	close(pla.results)
	var all []caller.Result
	for res := range pla.results {
		all = append(all, res...)
	}
	pla.requestRows(&rep, all)
	pla.batchRows(&rep, took)
	pla.outageRows(&rep, all)
	pla.checkRequests(all)
	pla.checkWorkers()
	pla.invariantRows(&rep)
	return rep
}

func (pla *player) requestRows(rep *Report, all []caller.Result) {
	var lats []time.Duration
	counts := map[string]int{}
	for _, res := range all {
		counts[res.Outcome()]++
		if res.Intact() {
			lats = append(lats, res.Latency())
		}
	}
	slices.Sort(lats)
	name := pla.clu.trc.site.Service
	share := 100 * float64(len(lats)) / float64(max(len(all), 1))
	want := pla.clu.trc.expect.MinAnsweredPercent
	rep.add(share >= want, name+" answered whole, %", fmt.Sprintf("%.1f of %d", share, len(all)), fmt.Sprintf("at least %g", want))
	rep.add(true, name+" not run / unknown", fmt.Sprintf("%d / %d", counts["notRun"], counts["unknown"]), "")
	rep.add(true, name+" latency p50 / p99 / max, ms", fmt.Sprintf("%.1f / %.1f / %.1f", percentileMs(lats, 50), percentileMs(lats, 99), percentileMs(lats, 100)), "")
}

// percentileMs returns a percentile of sorted latencies in milliseconds; 0 if there
// are none.
func percentileMs(lats []time.Duration, percent int) float64 {
	if len(lats) == 0 {
		return 0
	}
	pos := min(len(lats)*percent/100, len(lats)-1)
	return float64(lats[pos].Microseconds()) / 1000
}

func (pla *player) batchRows(rep *Report, took time.Duration) {
	exp, ora := pla.clu.trc.expect, pla.clu.ora
	done := ora.completedTasks()
	rep.add(done == exp.TasksFinished, "batch tasks finished", fmt.Sprint(done), fmt.Sprint(exp.TasksFinished))
	rep.add(true, "batch throughput, tasks/s", fmt.Sprintf("%.2f", float64(done)/seconds(took)), "")
	rep.add(ora.evictions <= exp.MaxEvictions, "evictions", fmt.Sprint(ora.evictions), fmt.Sprintf("at most %d", exp.MaxEvictions))
}

// outageRows adds a row for each outage with the work done during it: requests
// answered, and tasks completed.
func (pla *player) outageRows(rep *Report, all []caller.Result) {
	for _, og := range pla.outages {
		tasks, answered, sent := 0, 0, 0
		for _, end := range pla.clu.ora.completedAt {
			if end > og.from && end < og.to {
				tasks++
			}
		}
		for _, res := range all {
			due := pla.clu.clock().Add(-time.Since(res.Due()))
			if due > og.from && due < og.to {
				sent++
				if res.Intact() {
					answered++
				}
			}
		}
		rep.add(true, "while "+og.centre+" was out: answered / tasks finished",
			fmt.Sprintf("%d of %d / %d", answered, sent, tasks), "")
	}
}

// checkRequests checks the results of the callers against the requests that the
// backend servers ran.
func (pla *player) checkRequests(all []caller.Result) {
	runs := map[string]int{}
	for name, wor := range pla.clu.workers {
		sta, err := wor.RequestStats()
		if err != nil {
			pla.clu.ora.addViolation("P7", "no account of "+name)
			continue
		}
		for id, num := range sta.Runs() {
			runs[id] += num
		}
		if sta.Peak() > workerSlots {
			pla.clu.ora.addViolation("P1", fmt.Sprintf("%s ran %d requests at once", name, sta.Peak()))
		}
	}
	for _, vio := range caller.Verify(all, runs) {
		pla.clu.ora.addViolation(vio.Invariant(), vio.String())
	}
}

// checkWorkers checks that the attempts on each worker never exceeded its size.
func (pla *player) checkWorkers() {
	size := model.NewResources(workerMilliCPU, workerMemoryMB, 0)
	for name, wor := range pla.clu.workers {
		_, peak, err := wor.Load()
		if err != nil || !peak.FitsIn(size) {
			pla.clu.ora.addViolation("P1", name+" was committed beyond its size")
		}
	}
}

// invariants are the checked invariants with their texts in the report.
var invariants = []struct{ id, text string }{
	{"P1", "no VM committed beyond its size"},
	{"P2", "no task in two places"},
	{"P3", "evicted work resumes once"},
	{"P4", "no start 3 s after a data centre is out"},
	{"P5", "each caller its own whole answer"},
	{"P6", "not run means not run"},
	{"P7", "non-idempotent at most once"},
	{"P8", "nothing new to a leaving backend server"},
	{"P9", "planned stops cut nothing"},
	{"P10", "configuration in effect in 4 s, no revert"},
}

func (pla *player) invariantRows(rep *Report) {
	for _, inv := range invariants {
		vios := pla.clu.ora.violations[inv.id]
		value := "kept"
		if len(vios) > 0 {
			value = fmt.Sprintf("broken %d times: %s", len(vios), strings.Join(vios[:min(len(vios), 3)], ", "))
		}
		rep.add(len(vios) == 0, inv.id+" "+inv.text, value, "kept")
	}
}
