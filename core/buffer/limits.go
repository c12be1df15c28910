package buffer

const (
	// classDivisor is the share of the memory that callers, or other VMs, may have. Control,
	// and callers and control together, may have outsideNumerator/outsideDivisor of it. So
	// links between VMs always have a quarter, and control has one that callers cannot use.
	classDivisor     = 2
	outsideNumerator = 3
	outsideDivisor   = 4
	// requestShare is the share of the memory of a class that connections leave to requests.
	requestShare = 4
	// keptSlotsDivisor is the share of the connections that callers cannot use.
	keptSlotsDivisor = 8
	// overshootDivisor is the share by which connections that are being closed may exceed a
	// bound, so that new ones need not wait for their end. Their number may exceed its bound
	// by maxOvershoot at most, because each has a file descriptor.
	overshootDivisor = 16
	maxOvershoot     = 32
	// unbounded stands for memory without a bound.
	unbounded = int64(1) << 60
)

// classLimit returns the memory that a class may have at most.
func (bu *Budget) classLimit(cl Class) int64 {
	switch {
	case bu.cfg.Memory == 0:
		return unbounded
	case cl == Control:
		return bu.outsideLimit()
	}
	return bu.cfg.Memory / classDivisor
}

// Fits reports whether a class may ever have an amount.
func (bu *Budget) Fits(cl Class, amount int64) bool { return amount <= bu.classLimit(cl) }

// outsideLimit returns the memory that callers and control may have together.
func (bu *Budget) outsideLimit() int64 { return bu.cfg.Memory / outsideDivisor * outsideNumerator }

// used returns the memory that a class has taken: what its holders have, and what they have
// released and is not freed yet.
func (bu *Budget) used(cl Class) int64 { return bu.heldBy(cl) + bu.classes[cl].garbage.bytes() }

// room returns the memory that a class may still get, which is negative while connections
// that are being closed exceed a bound.
func (bu *Budget) room(cl Class) int64 {
	if bu.cfg.Memory == 0 {
		return unbounded
	}
	outside := bu.used(Callers) + bu.used(Control)
	out := min(bu.classLimit(cl)-bu.used(cl), bu.cfg.Memory-outside-bu.used(VMs))
	if cl != VMs {
		out = min(out, bu.outsideLimit()-outside)
	}
	return out
}

// missing returns the memory that a class lacks for an amount, besides what is being freed
// and what its holders wait for.
func (bu *Budget) missing(cl Class, amount int64) int64 {
	sta := &bu.classes[cl]
	return amount + sta.wanted - sta.freeing - sta.garbage.bytes() - bu.room(cl)
}
