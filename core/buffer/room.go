package buffer

const (
	// classDivisor is the share of the memory that one class may have. Callers and control
	// together may have outsideNumerator/outsideDivisor of it. So links between VMs always
	// have a quarter, and control has one that callers cannot use.
	classDivisor     = 2
	outsideNumerator = 3
	outsideDivisor   = 4
	// keptSlotsDivisor is the share of the connections that callers cannot use.
	keptSlotsDivisor = 8
	// overshootDivisor is the share by which connections that are being closed may exceed a
	// bound, so that new ones need not wait for their end.
	overshootDivisor = 16
	// unbounded stands for memory without a bound.
	unbounded = int64(1) << 60
)

// classLimit returns the memory that one class may have at most.
func (bu *Budget) classLimit() int64 {
	if bu.cfg.Memory == 0 {
		return unbounded
	}
	return bu.cfg.Memory / classDivisor
}

// room returns the memory that a class may still get, which is negative while connections
// that are being closed exceed a bound.
func (bu *Budget) room(cl Class) int64 {
	if bu.cfg.Memory == 0 {
		return unbounded
	}
	out := min(bu.classLimit()-bu.heldBy(cl), bu.cfg.Memory-bu.Held())
	if cl != VMs {
		out = min(out, bu.cfg.Memory*outsideNumerator/outsideDivisor-bu.heldBy(Callers)-bu.heldBy(Control))
	}
	return out
}

// missing returns the memory that a class lacks for an amount, besides what is being freed
// and what its holders wait for.
func (bu *Budget) missing(cl Class, amount int64) int64 {
	return amount + bu.classes[cl].wanted - bu.classes[cl].freeing - bu.room(cl)
}

// evict chooses holders of a class with more than BaseBytes, except one, until they free
// an amount or there are no more.
func (bu *Budget) evict(cl Class, amount int64, except *holder) []ID {
	var out []ID
	for el := bu.classes[cl].heavy.Front(); el != nil && amount > 0; el = el.Next() {
		if ho := el.Value.(*holder); ho != except && bu.claim(ho, false) {
			amount -= ho.held
			out = append(out, bu.choose(ho))
		}
	}
	return out
}

// claim reports whether a holder may be chosen to be closed.
func (bu *Budget) claim(ho *holder, idle bool) bool {
	return !ho.closing && (bu.cfg.Claim == nil || bu.cfg.Claim(ho.id, idle))
}

// choose marks a holder as one to be closed.
func (bu *Budget) choose(ho *holder) ID {
	ho.closing = true
	bu.stopWaiting(ho)
	cl := &bu.classes[ho.class]
	cl.freeing += ho.held
	if ho.connection {
		bu.closing++
		cl.closing++
	}
	return ho.id
}

// evictConnection chooses a connection of a class: of those with no more than BaseBytes
// one without requests, or of the others the one that has had no more memory for the
// longest time. light says which of them are asked first.
func (bu *Budget) evictConnection(cl Class, light bool) ([]ID, bool) {
	for _, fromLight := range []bool{light, !light} {
		choose := bu.evictHeavy
		if fromLight {
			choose = bu.evictLight
		}
		if id, ok := choose(&bu.classes[cl]); ok {
			return []ID{id}, true
		}
	}
	return nil, false
}

// evictHeavy chooses a connection with more than BaseBytes.
func (bu *Budget) evictHeavy(cl *class) (ID, bool) {
	for el := cl.heavy.Front(); el != nil; el = el.Next() {
		if ho := el.Value.(*holder); ho.connection && bu.claim(ho, false) {
			return bu.choose(ho), true
		}
	}
	return 0, false
}

// evictLight chooses a connection with no more than BaseBytes. Each that may not be closed
// goes to the end of the list; all are asked at most twice.
func (bu *Budget) evictLight(cl *class) (ID, bool) {
	for range 2 * cl.light.Len() {
		el := cl.light.Front()
		ho := el.Value.(*holder)
		if ho.connection && bu.claim(ho, true) {
			return bu.choose(ho), true
		}
		cl.light.MoveToBack(el)
	}
	return 0, false
}

// freeBase makes room for the BaseBytes of a connection.
func (bu *Budget) freeBase(cl Class) ([]ID, bool) {
	if BaseBytes <= bu.room(cl) {
		return nil, true
	}
	if bu.room(cl) < -bu.classLimit()/overshootDivisor {
		return nil, false
	}
	if bu.missing(cl, BaseBytes) <= 0 {
		return nil, true
	}
	return bu.evictConnection(cl, false)
}

// freeSlot makes room for a connection among the connections.
func (bu *Budget) freeSlot(cl Class) ([]ID, bool) {
	limit := bu.cfg.Connections
	if limit == 0 {
		return nil, true
	}
	over := limit / overshootDivisor
	callers := &bu.classes[Callers]
	if callerLimit := limit - limit/keptSlotsDivisor; cl == Callers && callers.open-callers.closing >= callerLimit {
		if callers.open >= callerLimit+over {
			return nil, false
		}
		return bu.evictConnection(Callers, true)
	}
	if bu.open-bu.closing < limit {
		return nil, bu.open < limit+over
	}
	if bu.open >= limit+over {
		return nil, false
	}
	return bu.evictConnection(bu.largest(cl), true)
}

// largest returns cl if it has half of the connections, and otherwise the class with the
// most.
func (bu *Budget) largest(cl Class) Class {
	if 2*bu.classes[cl].open >= bu.open {
		return cl
	}
	for other := range classes {
		if bu.classes[other].open > bu.classes[cl].open {
			cl = other
		}
	}
	return cl
}
