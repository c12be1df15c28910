package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"guavarail/core/model"
	"guavarail/io/fake/caller"
)

// Row is one outcome of a run of the demo.
type Row struct {
	// Name is what was measured or checked, with its unit.
	Name string `json:"name"`
	// Value is what the run gave.
	Value string `json:"value"`
	// Want is the expected value; empty for a measurement without a limit.
	Want string `json:"want,omitempty"`
	// OK is true when Value is as expected or Want is empty.
	OK bool `json:"ok"`
}

// Report has the outcomes of a run of the demo.
type Report struct {
	// User is the full name of the user.
	User string `json:"user"`
	// Seconds is the time from the start of the trace to the report.
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
}

func (rep *Report) add(ok bool, name, value, want string) {
	rep.Rows = append(rep.Rows, Row{Name: name, Value: value, Want: want, OK: ok})
}

// failed describes the rows that are not OK.
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
	answeredPercent := 100 * float64(len(lats)) / float64(max(len(all), 1))
	minPercent := pla.clu.trc.expect.MinAnsweredPercent
	rep.add(answeredPercent >= minPercent, name+" answered whole, %", fmt.Sprintf("%.1f of %d", answeredPercent, len(all)), fmt.Sprintf("at least %g", minPercent))
	rep.add(true, name+" not run / unknown", fmt.Sprintf("%d / %d", counts["notRun"], counts["unknown"]), "")
	rep.add(true, name+" latency p50 / p99 / max, ms", fmt.Sprintf("%.1f / %.1f / %.1f", percentileMs(lats, 50), percentileMs(lats, 99), percentileMs(lats, 100)), "")
}

// percentileMs returns a percentile of lats, which are sorted, in milliseconds; 0 if
// lats is empty. percent is 0 to 100, where 100 selects the maximum.
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

// outageRows adds a row for each outage, with what the whole cluster did during it:
// requests answered of those due, and tasks completed. An outage that is not over
// counts nothing.
func (pla *player) outageRows(rep *Report, all []caller.Result) {
	for _, og := range pla.outages {
		tasks, answered, sent := 0, 0, 0
		for _, completedAt := range pla.clu.ora.completedAt {
			if completedAt > og.from && completedAt < og.to {
				tasks++
			}
		}
		for _, res := range all {
			// The due time is a wall clock time; the outage is on the cluster's
			// clock.
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
// backend servers ran, and that no backend server ran more requests at the same time
// than it has slots.
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

// checkWorkers checks that the sizes of the attempts that ran on a worker at the same
// time never added up to more than the worker's size.
func (pla *player) checkWorkers() {
	size := model.NewResources(workerMilliCPU, workerMemoryMB, 0)
	for name, wor := range pla.clu.workers {
		_, peak, err := wor.Load()
		if err != nil || !peak.FitsIn(size) {
			pla.clu.ora.addViolation("P1", name+" was committed beyond its size")
		}
	}
}

// invariants are the invariants that are checked, with their texts in the report.
// P9 is about planned shutdowns of entry VMs: no request in flight fails and no
// response is truncated. P10 is about accepted configurations.
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
