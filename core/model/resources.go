package model

// Resources is an amount of processors, memory and accelerators. The zero value
// is the empty amount.
type Resources struct {
	milliCPU     int64
	memoryMB     int64
	accelerators int64
}

// NewResources returns an amount of milliCPU thousandths of a processor,
// memoryMB megabytes of memory and a number of whole accelerators.
func NewResources(milliCPU, memoryMB, accelerators int64) Resources {
	return Resources{milliCPU: milliCPU, memoryMB: memoryMB, accelerators: accelerators}
}

// MilliCPU returns the processor amount in thousandths of a processor.
func (re Resources) MilliCPU() int64 { return re.milliCPU }

// MemoryMB returns the memory in megabytes.
func (re Resources) MemoryMB() int64 { return re.memoryMB }

// Accelerators returns the number of whole accelerators.
func (re Resources) Accelerators() int64 { return re.accelerators }

// Add returns the sum of re and other.
func (re Resources) Add(other Resources) Resources {
	return Resources{re.milliCPU + other.milliCPU, re.memoryMB + other.memoryMB, re.accelerators + other.accelerators}
}

// Sub returns re minus other. Dimensions of the result may be negative.
func (re Resources) Sub(other Resources) Resources {
	return Resources{re.milliCPU - other.milliCPU, re.memoryMB - other.memoryMB, re.accelerators - other.accelerators}
}

// Max returns the larger of re and other in each dimension.
func (re Resources) Max(other Resources) Resources {
	return Resources{
		max(re.milliCPU, other.milliCPU),
		max(re.memoryMB, other.memoryMB),
		max(re.accelerators, other.accelerators),
	}
}

// Min returns the smaller of re and other in each dimension.
func (re Resources) Min(other Resources) Resources {
	return Resources{
		min(re.milliCPU, other.milliCPU),
		min(re.memoryMB, other.memoryMB),
		min(re.accelerators, other.accelerators),
	}
}

// Scale returns re times a factor, rounded towards zero.
func (re Resources) Scale(factor float64) Resources {
	return Resources{int64(float64(re.milliCPU) * factor), int64(float64(re.memoryMB) * factor), int64(float64(re.accelerators) * factor)}
}

// FitsIn reports whether re is at most free in every dimension.
func (re Resources) FitsIn(free Resources) bool {
	return re.milliCPU <= free.milliCPU && re.memoryMB <= free.memoryMB && re.accelerators <= free.accelerators
}

// DominantShare returns the largest fraction of total that re is in any
// dimension, 0 if it is negative or zero in all of them. Dimensions in which
// total is zero do not count.
func (re Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, dim := range [][2]int64{{re.milliCPU, total.milliCPU}, {re.memoryMB, total.memoryMB}, {re.accelerators, total.accelerators}} {
		if dim[1] > 0 {
			share = max(share, float64(dim[0])/float64(dim[1]))
		}
	}
	return share
}

// IsZero reports whether every dimension is zero.
func (re Resources) IsZero() bool { return re == Resources{} }

// Valid reports whether no dimension is negative.
func (re Resources) Valid() bool { return Resources{}.FitsIn(re) }
