// Package demo runs the whole system in one process: three data centres with
// entry VMs, simulated workers and backend servers, callers and batch jobs. It
// replays a recorded trace and checks the outcomes and the invariants.
package demo

import (
	"bufio"
	"bytes"
	"embed"
	"encoding/json"
	"path"
	"time"
)

//go:embed traces/*.jsonl
var traceFiles embed.FS

// Users returns the names of the users with a recorded trace.
func Users() []string { return []string{"virunga", "ozolkalns"} }

// step is one line of a trace. Kind says what it does, Name is what it applies to,
// and AtMs its time after the start. Of the other fields, only those of its kind
// are set.
type step struct {
	Kind string `json:"kind"`
	AtMs int64  `json:"atMs"`
	Name string `json:"name"`

	// For site.
	User             string   `json:"user"`
	Region           string   `json:"region"`
	Service          string   `json:"service"`
	Centres          []string `json:"centres"`
	WorkersPerCentre int      `json:"workersPerCentre"`

	// For preset.
	BatchSharePercent int    `json:"batchSharePercent"`
	Forward           bool   `json:"forward"`
	Drain             string `json:"drain"`
	TailTargetMs      int64  `json:"tailTargetMs"`

	// For requests.
	ForMs         int64   `json:"forMs"`
	PerSecond     float64 `json:"perSecond"`
	WorkMs        int64   `json:"workMs"`
	NonIdempotent bool    `json:"nonIdempotent"`
	// Keys gives each request its own idempotency key.
	Keys bool `json:"keys"`

	// For job.
	Centre string `json:"centre"`
	Tasks  int    `json:"tasks"`
	RunMs  int64  `json:"runMs"`

	// For expect.
	MinAnsweredPercent float64 `json:"minAnsweredPercent"`
	TasksFinished      int     `json:"tasksFinished"`
	MaxEvictions       int     `json:"maxEvictions"`
}

func (st step) at() time.Duration { return time.Duration(st.AtMs) * time.Millisecond }

// trace is the recorded input of one user.
type trace struct {
	// site describes the cluster, and expect the expected outcomes.
	site   step
	expect step
	// steps are the other lines in the order of the file, which is the order of
	// their times.
	steps []step
}

// load reads the recorded trace of a user.
func load(user string) (trace, error) {
	data, err := traceFiles.ReadFile(path.Join("traces", user+".jsonl"))
	if err != nil {
		return trace{}, &UserError{user: user}
	}
	var trc trace
	scan := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scan.Scan(); line++ {
		var st step
		dec := json.NewDecoder(bytes.NewReader(scan.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&st); err != nil {
			return trace{}, &TraceError{user: user, line: line, cause: err}
		}
		switch st.Kind {
		case "site":
			trc.site = st
		case "expect":
			trc.expect = st
		default:
			trc.steps = append(trc.steps, st)
		}
	}
	return trc, nil
}
