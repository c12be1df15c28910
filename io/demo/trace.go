// Package demo runs the whole system in one process: three data centres with
// their entry VMs, workers with backend servers, callers and batch jobs, on
// recorded input. It checks the outcomes and the invariants at the end.
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
var traces embed.FS

// Users are the names of the recorded traces.
func Users() []string { return []string{"virunga", "ozolkalns"} }

// step is one line of a trace. Only the fields of its kind are set.
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
	Keys          bool    `json:"keys"`

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

// script is a whole trace.
type script struct {
	site   step
	expect step
	// steps are in the order of the file, which is that of their times.
	steps []step
}

// load reads the recorded trace of a user.
func load(user string) (script, error) {
	data, err := traces.ReadFile(path.Join("traces", user+".jsonl"))
	if err != nil {
		return script{}, &UserError{user: user}
	}
	var scr script
	scan := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scan.Scan(); line++ {
		var st step
		dec := json.NewDecoder(bytes.NewReader(scan.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&st); err != nil {
			return script{}, &TraceError{user: user, line: line, cause: err}
		}
		switch st.Kind {
		case "site":
			scr.site = st
		case "expect":
			scr.expect = st
		default:
			scr.steps = append(scr.steps, st)
		}
	}
	return scr, nil
}
