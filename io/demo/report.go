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
	// Name says what was measured or checked, with its unit.
	Name string `json:"name"`
	// Value is what the run gave.
	Value string `json:"value"`
	// Want is what was expected; empty for a figure without a bound.
	Want string `json:"want,omitempty"`
	OK   bool   `json:"ok"`
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

// report counts and checks everything that happened.
func (pla *player) report() Report {
	sit := pla.sit
	took := sit.clock().Sub(pla.start)
	rep := Report{User: sit.scr.site.User, Seconds: seconds(took)}
	close(pla.calls)
	var all []caller.Result
	for res := range pla.calls {
		all = append(all, res...)
	}
	pla.requestRows(&rep, all)
	pla.batchRows(&rep, took)
	pla.outRows(&rep, all)
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
	name := pla.sit.scr.site.Service
	share := 100 * float64(len(lats)) / float64(max(len(all), 1))
	want := pla.sit.scr.expect.MinAnsweredPercent
	rep.add(share >= want, name+" answered whole, %", fmt.Sprintf("%.1f of %d", share, len(all)), fmt.Sprintf("at least %g", want))
	rep.add(true, name+" not run / unknown", fmt.Sprintf("%d / %d", counts["notRun"], counts["unknown"]), "")
	rep.add(true, name+" latency p50 / p99 / max, ms", fmt.Sprintf("%.1f / %.1f / %.1f", at(lats, 50), at(lats, 99), at(lats, 100)), "")
}

// at returns a percentile in milliseconds.
func at(lats []time.Duration, percent int) float64 {
	if len(lats) == 0 {
		return 0
	}
	pos := min(len(lats)*percent/100, len(lats)-1)
	return float64(lats[pos].Microseconds()) / 1000
}

func (pla *player) batchRows(rep *Report, took time.Duration) {
	exp, ora := pla.sit.scr.expect, pla.sit.ora
	done := ora.finished()
	rep.add(done == exp.TasksFinished, "batch tasks finished", fmt.Sprint(done), fmt.Sprint(exp.TasksFinished))
	rep.add(true, "batch throughput, tasks/s", fmt.Sprintf("%.2f", float64(done)/seconds(took)), "")
	rep.add(ora.evictions <= exp.MaxEvictions, "evictions", fmt.Sprint(ora.evictions), fmt.Sprintf("at most %d", exp.MaxEvictions))
}

// outRows counts the work that was done while data centres were out.
func (pla *player) outRows(rep *Report, all []caller.Result) {
	for _, win := range pla.outs {
		tasks, answered, sent := 0, 0, 0
		for _, end := range pla.sit.ora.ends {
			if end > win.from && end < win.to {
				tasks++
			}
		}
		for _, res := range all {
			due := pla.sit.clock().Add(-time.Since(res.Due()))
			if due > win.from && due < win.to {
				sent++
				if res.Intact() {
					answered++
				}
			}
		}
		rep.add(true, "while "+win.centre+" was out: answered / tasks finished",
			fmt.Sprintf("%d of %d / %d", answered, sent, tasks), "")
	}
}

// checkRequests verifies what callers got against what backend servers ran.
func (pla *player) checkRequests(all []caller.Result) {
	runs := map[string]int{}
	for name, wor := range pla.sit.workers {
		acc, err := wor.RequestStats()
		if err != nil {
			pla.sit.ora.violate("P7", "no account of "+name)
			continue
		}
		for id, num := range acc.Runs() {
			runs[id] += num
		}
		if acc.Peak() > workerSlots {
			pla.sit.ora.violate("P1", fmt.Sprintf("%s ran %d requests at once", name, acc.Peak()))
		}
	}
	for _, vio := range caller.Verify(all, runs) {
		pla.sit.ora.violate(vio.Invariant(), vio.String())
	}
}

func (pla *player) checkWorkers() {
	size := model.NewResources(workerMilliCPU, workerMemoryMB, 0)
	for name, wor := range pla.sit.workers {
		_, peak, err := wor.Load()
		if err != nil || !peak.FitsIn(size) {
			pla.sit.ora.violate("P1", name+" was committed beyond its size")
		}
	}
}

// invariants names what is checked for each invariant.
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
		fas := pla.sit.ora.faults[inv.id]
		value := "kept"
		if len(fas) > 0 {
			value = fmt.Sprintf("broken %d times: %s", len(fas), strings.Join(fas[:min(len(fas), 3)], ", "))
		}
		rep.add(len(fas) == 0, inv.id+" "+inv.text, value, "kept")
	}
}
