package sched

import "guavarail/core/model"

// account sums the commitments of one team.
type account struct {
	// held counts against the quota, borrowed does not.
	held, borrowed model.Resources
}

// usage sums the commitments of the data centre. The zero value is empty.
type usage struct {
	// total is what the known workers have.
	total     model.Resources
	committed model.Resources
	batch     model.Resources
	teams     map[model.TeamID]*account
}

func (us *usage) team(id model.TeamID) *account {
	acc, ok := us.teams[id]
	if !ok {
		if us.teams == nil {
			us.teams = map[model.TeamID]*account{}
		}
		acc = &account{}
		us.teams[id] = acc
	}
	return acc
}

func (us *usage) add(spec JobSpec, size model.Resources, borrowed bool) {
	us.committed = us.committed.Add(size)
	if spec.Priority == model.Batch {
		us.batch = us.batch.Add(size)
	}
	acc := us.team(spec.Team)
	if borrowed {
		acc.borrowed = acc.borrowed.Add(size)
		return
	}
	acc.held = acc.held.Add(size)
}

func (us *usage) sub(spec JobSpec, size model.Resources, borrowed bool) {
	us.add(spec, model.Resources{}.Sub(size), borrowed)
}

// share returns the weighted dominant share of the account.
func (us *usage) share(acc *account, weight int) float64 {
	sum := acc.held.Add(acc.borrowed)
	dom := max(
		fraction(sum.MilliCPU(), us.total.MilliCPU()),
		fraction(sum.MemoryMB(), us.total.MemoryMB()),
		fraction(sum.Accelerators(), us.total.Accelerators()),
	)
	return dom / float64(max(weight, 1))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// percent returns part hundredths of an amount.
func percent(amount model.Resources, part int) model.Resources {
	scale := func(val int64) int64 { return val * int64(part) / 100 }
	return model.NewResources(scale(amount.MilliCPU()), scale(amount.MemoryMB()), scale(amount.Accelerators()))
}
