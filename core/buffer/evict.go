package buffer

// evict marks holders of a class with more than their base as ones to be closed, except one,
// until they free an amount or there are no more.
func (bu *Budget) evict(cl Class, amount int64, except *holder) []ID {
	var out []ID
	for el := bu.classes[cl].heavy.Front(); el != nil && amount > 0; el = el.Next() {
		if ho := el.Value.(*holder); ho != except && bu.mayClose(ho, false) {
			amount -= ho.held
			out = append(out, bu.markClosing(ho))
		}
	}
	return out
}

// mayClose reports whether a holder may be chosen to be closed.
func (bu *Budget) mayClose(ho *holder, idle bool) bool {
	return !ho.closing && (bu.cfg.Claim == nil || bu.cfg.Claim(ho.id, idle))
}

// markClosing marks a holder as one to be closed, and returns its ID.
func (bu *Budget) markClosing(ho *holder) ID {
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

// evictConnection chooses a connection of a class: of those with no more than their base
// one without requests, or of the others the one that has had no more memory for the
// longest time. lightFirst says which of them are tried first.
func (bu *Budget) evictConnection(cl Class, lightFirst bool) ([]ID, bool) {
	for _, fromLight := range []bool{lightFirst, !lightFirst} {
		evict := bu.evictHeavy
		if fromLight {
			evict = bu.evictLight
		}
		if id, ok := evict(&bu.classes[cl]); ok {
			return []ID{id}, true
		}
	}
	return nil, false
}

// evictHeavy chooses a connection with more than its base.
func (bu *Budget) evictHeavy(cl *class) (ID, bool) {
	for el := cl.heavy.Front(); el != nil; el = el.Next() {
		if ho := el.Value.(*holder); ho.connection && bu.mayClose(ho, false) {
			return bu.markClosing(ho), true
		}
	}
	return 0, false
}

// evictLight chooses a connection with no more than its base. Each that may not be closed
// goes to the end of the list; all are asked at most twice.
func (bu *Budget) evictLight(cl *class) (ID, bool) {
	for range 2 * cl.light.Len() {
		el := cl.light.Front()
		ho := el.Value.(*holder)
		if ho.connection && bu.mayClose(ho, true) {
			return bu.markClosing(ho), true
		}
		cl.light.MoveToBack(el)
	}
	return 0, false
}

// freeBase makes room for the base of a connection, and leaves a share of the class to
// requests: idle connections are not closed for them. If none can be closed, because requests
// are served on all, the new one gets what is left.
func (bu *Budget) freeBase(cl Class) ([]ID, bool) {
	base := baseOf(cl) + bu.classLimit(cl)/requestShare
	if base <= bu.room(cl) {
		return nil, true
	}
	if bu.room(cl) < -bu.classLimit(cl)/overshootDivisor {
		return nil, false
	}
	if bu.missing(cl, base) <= 0 {
		return nil, true
	}
	closes, ok := bu.evictConnection(cl, false)
	return closes, ok || baseOf(cl) <= bu.room(cl)
}

// freeSlot makes room for a connection within the bounds of their number.
func (bu *Budget) freeSlot(cl Class) ([]ID, bool) {
	limit := bu.cfg.Connections
	if limit == 0 {
		return nil, true
	}
	over := min(limit/overshootDivisor, maxOvershoot)
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
