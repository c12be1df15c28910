package worker

import (
	"maps"

	"guavarail/core/model"
)

// RequestEvent is the begin or the end of one request at a backend server.
type RequestEvent struct {
	ID      string
	Started bool
}

// RequestLog keeps account of the requests of a backend server. It implements
// model.Machine and has no effects. The zero value works.
type RequestLog struct {
	busy, most int
	// runs counts how often each request was run.
	runs map[string]int
}

// Step implements model.Machine.
func (rlo *RequestLog) Step(_ model.Instant, in RequestEvent) []struct{} {
	if !in.Started {
		rlo.busy--
		return nil
	}
	if rlo.runs == nil {
		rlo.runs = map[string]int{}
	}
	rlo.busy++
	rlo.most = max(rlo.most, rlo.busy)
	rlo.runs[in.ID]++
	return nil
}

// RequestStats is what a backend server ran.
type RequestStats struct {
	busy, most int
	runs       map[string]int
}

func (rlo *RequestLog) account() RequestStats {
	return RequestStats{busy: rlo.busy, most: rlo.most, runs: maps.Clone(rlo.runs)}
}

// Running returns the number of requests that run now.
func (acc RequestStats) Running() int { return acc.busy }

// Peak returns the highest number of requests that ran at once.
func (acc RequestStats) Peak() int { return acc.most }

// Runs returns how often each request was run, by its id.
func (acc RequestStats) Runs() map[string]int { return maps.Clone(acc.runs) }
