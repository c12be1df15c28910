package replay

import (
	"guavarail/core/trace"
	"guavarail/io/cmd/shell"
	"guavarail/io/term"
)

// Row is the outcome of a trace under one policy.
type Row struct {
	Policy    string `json:"policy"`
	Finished  int    `json:"finished"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	// Open counts the tasks that had not ended when the trace ended.
	Open      int `json:"open"`
	Attempts  int `json:"attempts"`
	Evictions int `json:"evictions"`
	// TailP99Ms is the 99th percentile of the tail latency readings.
	TailP99Ms int64 `json:"tailP99Ms"`
	// OverTarget counts the tail latency readings above the target of the service.
	OverTarget int `json:"overTarget"`
	// Readings counts all tail latency readings.
	Readings int `json:"readings"`
	// BatchWorkS is the run time of batch tasks, in seconds, without lost work.
	BatchWorkS int `json:"batchWorkS"`
	// LastEndS is when the last task succeeded, in seconds since the start.
	LastEndS int `json:"lastEndS"`
}

// Report is the JSON output of the command.
type Report struct {
	Trace string `json:"trace"`
	Rows  []Row  `json:"rows"`
	// Differences lists where the outcome with guards differs from the expected one,
	// and the violated invariants. It is empty if there are none.
	Differences []string `json:"differences,omitempty"`
}

func newRow(policy string, ou trace.Outcome) Row {
	over, readings := ou.OverTarget()
	return Row{
		Policy: policy, Finished: ou.Finished(), Failed: ou.Failed(), Cancelled: ou.Cancelled(), Open: ou.Unfinished(),
		Attempts: ou.Attempts(), Evictions: ou.Evictions(), TailP99Ms: ou.Tail().Milliseconds(),
		OverTarget: over, Readings: readings, BatchWorkS: int(ou.BatchWork().Seconds()), LastEndS: int(ou.LastFinish().Seconds()),
	}
}

func (rep Report) table() *term.Table {
	ta := term.NewTable("policy", "finished", "failed", "cancelled", "open", "attempts", "evictions",
		"tail p99 ms", "over target", "readings", "batch work s", "last end s")
	for _, ro := range rep.Rows {
		ta.Add(ro.Policy, shell.Int(ro.Finished), shell.Int(ro.Failed), shell.Int(ro.Cancelled), shell.Int(ro.Open),
			shell.Int(ro.Attempts), shell.Int(ro.Evictions), shell.Int(ro.TailP99Ms), shell.Int(ro.OverTarget),
			shell.Int(ro.Readings), shell.Int(ro.BatchWorkS), shell.Int(ro.LastEndS))
	}
	return ta
}
