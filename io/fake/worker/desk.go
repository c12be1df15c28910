package worker

import (
	"maps"

	"guavarail/core/model"
)

// Visit is the begin or the end of one request at a backend server.
type Visit struct {
	ID    string
	Begin bool
}

// Desk keeps account of the requests of a backend server. It implements
// model.Machine and has no effects. The zero value works.
type Desk struct {
	busy, most int
	// runs counts how often each request was run.
	runs map[string]int
}

// Step implements model.Machine.
func (des *Desk) Step(_ model.Instant, in Visit) []struct{} {
	if !in.Begin {
		des.busy--
		return nil
	}
	if des.runs == nil {
		des.runs = map[string]int{}
	}
	des.busy++
	des.most = max(des.most, des.busy)
	des.runs[in.ID]++
	return nil
}

// Account is what a backend server ran.
type Account struct {
	busy, most int
	runs       map[string]int
}

func (des *Desk) account() Account {
	return Account{busy: des.busy, most: des.most, runs: maps.Clone(des.runs)}
}

// Busy returns the number of requests that run now.
func (acc Account) Busy() int { return acc.busy }

// Most returns the highest number of requests that ran at once.
func (acc Account) Most() int { return acc.most }

// Runs returns how often each request was run, by its id.
func (acc Account) Runs() map[string]int { return maps.Clone(acc.runs) }
