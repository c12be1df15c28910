package sched

import (
	"guavarail/core/model"
	"guavarail/core/share"
)

// teamAccounts sums the commitments by team and over the data centre. Borrowed
// commitments don't count against the quota. The zero value is empty.
type teamAccounts struct {
	// total is the capacity of the registered workers.
	total model.Resources
	// committed is the sum of all commitments, batch that of batch tasks.
	committed model.Resources
	batch     model.Resources
	teams     share.Accounts[model.TeamID]
}

func (ta *teamAccounts) add(spec JobSpec, size model.Resources, borrowed bool) {
	ta.committed = ta.committed.Add(size)
	if spec.Priority == model.Batch {
		ta.batch = ta.batch.Add(size)
	}
	ta.teams.Add(spec.Team, size, borrowed)
}

func (ta *teamAccounts) sub(spec JobSpec, size model.Resources, borrowed bool) {
	ta.add(spec, model.Resources{}.Sub(size), borrowed)
}
