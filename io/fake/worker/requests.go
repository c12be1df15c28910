package worker

import (
	"maps"

	"guavarail/core/model"
)

// RequestEvent is the start or the end of one request at a backend server.
type RequestEvent struct {
	ID string
	// Started is true for the start and false for the end.
	Started bool
}

// RequestLog counts the requests of a backend server. It implements model.Machine
// and has no effects. The zero value is ready to use.
type RequestLog struct {
	// running is the number of running requests, and peak its highest value.
	running, peak int
	// runs counts the runs of each request by its id.
	runs map[string]int
}

// Step implements model.Machine.
func (rlo *RequestLog) Step(_ model.Instant, in RequestEvent) []struct{} {
	if !in.Started {
		rlo.running--
		return nil
	}
	if rlo.runs == nil {
		rlo.runs = map[string]int{}
	}
	rlo.running++
	rlo.peak = max(rlo.peak, rlo.running)
	rlo.runs[in.ID]++
	return nil
}

// RequestStats is a copy of the counts in a RequestLog.
type RequestStats struct {
	running, peak int
	runs          map[string]int
}

func (rlo *RequestLog) stats() RequestStats {
	return RequestStats{running: rlo.running, peak: rlo.peak, runs: maps.Clone(rlo.runs)}
}

// Running returns the number of requests that were running when the copy was made.
func (sta RequestStats) Running() int { return sta.running }

// Peak returns the highest number of requests that ran at the same time.
func (sta RequestStats) Peak() int { return sta.peak }

// Runs returns how often each request ran, by its id.
func (sta RequestStats) Runs() map[string]int { return maps.Clone(sta.runs) }
