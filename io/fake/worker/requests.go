package worker

import (
	"maps"

	"guavarail/core/model"
)

// RequestMark is the begin or the end of one request at a backend server.
type RequestMark struct {
	ID    string
	Begin bool
}

// RequestLog keeps account of the requests of a backend server. It implements
// model.Machine and has no effects. The zero value works.
type RequestLog struct {
	busy, most int
	// runs counts how often each request was run.
	runs map[string]int
}

// Step implements model.Machine.
func (rlo *RequestLog) Step(_ model.Instant, in RequestMark) []struct{} {
	if !in.Begin {
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

// Account is what a backend server ran.
type Account struct {
	busy, most int
	runs       map[string]int
}

func (rlo *RequestLog) account() Account {
	return Account{busy: rlo.busy, most: rlo.most, runs: maps.Clone(rlo.runs)}
}

// Busy returns the number of requests that run now.
func (acc Account) Busy() int { return acc.busy }

// Most returns the highest number of requests that ran at once.
func (acc Account) Most() int { return acc.most }

// Runs returns how often each request was run, by its id.
func (acc Account) Runs() map[string]int { return maps.Clone(acc.runs) }
