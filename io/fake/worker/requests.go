package worker

import (
	"maps"

	"guavarail/core/model"
)

// RequestMark is the start or the end of one request at a backend server.
type RequestMark struct {
	ID    string
	Begin bool
}

// RequestLog counts the requests of a backend server. It implements model.Machine
// and has no effects. The zero value is ready to use.
type RequestLog struct {
	running, peak int
	// runs counts the runs of each request by its id.
	runs map[string]int
}

// Step implements model.Machine.
func (rlo *RequestLog) Step(_ model.Instant, in RequestMark) []struct{} {
	if !in.Begin {
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

// Account has statistics of the requests that a backend server ran.
type Account struct {
	running, peak int
	runs          map[string]int
}

func (rlo *RequestLog) stats() Account {
	return Account{running: rlo.running, peak: rlo.peak, runs: maps.Clone(rlo.runs)}
}

// Busy returns the number of requests that were running.
func (acc Account) Busy() int { return acc.running }

// Most returns the highest number of requests that ran at the same time.
func (acc Account) Most() int { return acc.peak }

// Runs returns how often each request ran, by its id.
func (acc Account) Runs() map[string]int { return maps.Clone(acc.runs) }
