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

// Valid reports whether the weight is finite and neither it nor the quota is negative.
func (te Terms) Valid() bool {
	return te.weight >= 0 && !math.IsInf(te.weight, 1) && te.quota.Valid()
}
