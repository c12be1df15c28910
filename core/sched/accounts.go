package sched

import "guavarail/core/model"

// account sums the commitments of one team.
type account struct {
	// borrowed is the sum of the borrowed commitments, quotaUsed that of the
	// others; only quotaUsed counts against the quota.
	quotaUsed, borrowed model.Resources
}

// teamAccounts sums the commitments by team and over the data centre. The zero
// value is empty.
type teamAccounts struct {
	// total is the capacity of the registered workers.
	total model.Resources
	// committed is the sum of all commitments, batch that of batch tasks.
	committed model.Resources
	batch     model.Resources
	teams     map[model.TeamID]*account
}

func (ta *teamAccounts) team(id model.TeamID) *account {
	acc, ok := ta.teams[id]
	if !ok {
		if ta.teams == nil {
			ta.teams = map[model.TeamID]*account{}
		}
		acc = &account{}
		ta.teams[id] = acc
	}
	return acc
}

func (ta *teamAccounts) add(spec JobSpec, size model.Resources, borrowed bool) {
	ta.committed = ta.committed.Add(size)
	if spec.Priority == model.Batch {
		ta.batch = ta.batch.Add(size)
	}
	acc := ta.team(spec.Team)
	if borrowed {
		acc.borrowed = acc.borrowed.Add(size)
		return
	}
	acc.quotaUsed = acc.quotaUsed.Add(size)
}

func (ta *teamAccounts) sub(spec JobSpec, size model.Resources, borrowed bool) {
	ta.add(spec, model.Resources{}.Sub(size), borrowed)
}

// share returns the weighted dominant share of the account: its largest
// fraction of the capacity in any dimension, divided by the weight.
func (ta *teamAccounts) share(acc *account, weight int) float64 {
	return acc.quotaUsed.Add(acc.borrowed).DominantShare(ta.total) / float64(max(weight, 1))
}

// percent returns the given percentage of an amount.
func percent(amount model.Resources, part int) model.Resources {
	scale := func(val int64) int64 { return val * int64(part) / 100 }
	return model.NewResources(scale(amount.MilliCPU()), scale(amount.MemoryMB()), scale(amount.Accelerators()))
}
