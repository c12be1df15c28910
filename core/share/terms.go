// Package share decides how customers share the resources of workers: what each may
// have in use, and whose turn it is when there is too little for all.
package share

import (
	"math"

	"guavarail/core/model"
)

// Terms are the quota and the weight of one customer. The zero value has no quota and
// weight 1.
type Terms struct {
	weight float64
	quota  model.Resources
}

// NewTerms returns terms with a weight, 0 for 1, and a quota. A dimension of the quota
// that is 0 has no limit.
func NewTerms(weight float64, quota model.Resources) Terms {
	return Terms{weight: weight, quota: quota}
}

// Weight returns the weight by which the customer shares resources with others.
func (te Terms) Weight() float64 {
	if te.weight == 0 {
		return 1
	}
	return te.weight
}

// Quota returns what the customer may have in use. A dimension that is 0 has no limit.
func (te Terms) Quota() model.Resources { return te.quota }

// Limit returns the quota with the largest possible amount in each dimension that has no
// limit, and false if no dimension has a limit.
func (te Terms) Limit() (limit model.Resources, limited bool) {
	orMost := func(val int64) int64 {
		if val == 0 {
			return math.MaxInt64
		}
		return val
	}
	return model.NewResources(orMost(te.quota.MilliCPU()), orMost(te.quota.MemoryMB()), orMost(te.quota.Accelerators())), !te.quota.IsZero()
}

// Valid reports whether the weight is finite and neither it nor the quota is negative.
func (te Terms) Valid() bool {
	return te.weight >= 0 && !math.IsInf(te.weight, 1) && te.quota.Valid()
}
