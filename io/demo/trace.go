// Package demo runs the system in one process: three data centres with one entry VM
// each, simulated workers with backend servers, callers and batch jobs. Entry VMs
// run the scheduler: they forward the requests of callers to backend servers and
// start the tasks of batch jobs on workers. The demo replays a recorded trace, and
// checks the outcomes and the invariants P1 to P10 (listed in the variable
// invariants).
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

// step is one line of a trace. Of the fields after Name, only those of its kind are
// set.
type step struct {
	// Kind is site, expect, preset, switch, centreOut, centreIn, requests, job,
	// leave or restart.
	Kind string `json:"kind"`
	// AtMs is the time of the step after the start of the trace.
	AtMs int64 `json:"atMs"`
	// Name is the preset, data centre, job, worker (leave) or entry VM (restart)
	// that the step applies to; for requests it is the name of the caller.
	Name string `json:"name"`

	// For site, the description of the cluster. User is the full name of the user,
	// and Service the service of all backend servers.
	User             string   `json:"user"`
	Region           string   `json:"region"`
	Service          string   `json:"service"`
	Centres          []string `json:"centres"`
	WorkersPerCentre int      `json:"workersPerCentre"`

	// For preset. TailTargetMs is the target for the tail latency of the service.
	// The others are the fields of rest.Preset.
	BatchSharePercent int    `json:"batchSharePercent"`
	Forward           bool   `json:"forward"`
	Drain             string `json:"drain"`
	TailTargetMs      int64  `json:"tailTargetMs"`

	// For requests. They are sent for ForMs at the mean rate PerSecond, and each
	// runs for WorkMs on the backend server.
	ForMs         int64   `json:"forMs"`
	PerSecond     float64 `json:"perSecond"`
	WorkMs        int64   `json:"workMs"`
	NonIdempotent bool    `json:"nonIdempotent"`
	// Keys gives each request its own idempotency key.
	Keys bool `json:"keys"`

	// For job. RunMs is the run time of each task at full speed.
	Centre string `json:"centre"`
	Tasks  int    `json:"tasks"`
	RunMs  int64  `json:"runMs"`

	// For expect, the expected outcomes. MinAnsweredPercent is the least
	// percentage of all requests that get their complete response.
	MinAnsweredPercent float64 `json:"minAnsweredPercent"`
	TasksFinished      int     `json:"tasksFinished"`
	MaxEvictions       int     `json:"maxEvictions"`
}

func (st step) at() time.Duration { return time.Duration(st.AtMs) * time.Millisecond }

// trace is the recorded input of one user.
type trace struct {
	// site is the step of kind site, which describes the cluster, and expect the
	// one with the expected outcomes.
	site   step
	expect step
	// steps are the other lines in the order of the file, which is the order of
	// their times.
	steps []step
}

// loadTrace decodes the embedded trace of a user, one of Users.
func loadTrace(user string) (trace, error) {
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
