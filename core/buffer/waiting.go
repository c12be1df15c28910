package buffer

import "slices"

// Reserve gives a holder more memory. The returned holders must be closed to make room.
// A holder that waits must not reserve.
func (bu *Budget) Reserve(id ID, amount int64) (Verdict, []ID) {
	ho := bu.holders[id]
	if ho == nil || ho.closing {
		return Refused, nil
	}
	cl := &bu.classes[ho.class]
	if (cl.wanted == 0 || ho.overtakes()) && amount <= bu.room(ho.class) {
		bu.grant(ho, amount)
		return Granted, nil
	}
	if amount+ho.held > bu.classLimit(ho.class) {
		return Refused, nil
	}
	missing := bu.missing(ho.class, amount)
	if ho.overtakes() {
		missing -= cl.wanted
	}
	closes := bu.evict(ho.class, missing, ho)
	ho.wanted = amount
	cl.wanted += amount
	if ho.overtakes() {
		bu.waiting = slices.Insert(bu.waiting, 0, ho)
	} else {
		bu.waiting = append(bu.waiting, ho)
	}
	return Waiting, closes
}

// overtakes reports whether a holder gets memory before others that wait for it. A link does:
// what it asks memory for has arrived already, and while it waits nothing else on it is read.
func (ho *holder) overtakes() bool { return ho.connection && ho.class == VMs }

// grant adds memory to a holder, which then is the last in class.heavy unless it is light.
func (bu *Budget) grant(ho *holder, amount int64) {
	cl := &bu.classes[ho.class]
	ho.held += amount
	cl.held += amount
	switch {
	case ho.heavy:
		cl.heavy.MoveToBack(ho.element)
	case ho.held > ho.base:
		cl.light.Remove(ho.element)
		ho.heavy, ho.element = true, cl.heavy.PushBack(ho)
	}
}

// Abandon ends the wait of a holder. It returns the holders that have got the memory that
// they wait for.
func (bu *Budget) Abandon(id ID) []ID {
	ho := bu.holders[id]
	if ho == nil || ho.wanted == 0 {
		return nil
	}
	bu.stopWaiting(ho)
	return bu.grantWaiting()
}

// stopWaiting removes a holder from those that wait.
func (bu *Budget) stopWaiting(ho *holder) {
	if ho.wanted == 0 {
		return
	}
	bu.classes[ho.class].wanted -= ho.wanted
	ho.wanted = 0
	for pos, other := range bu.waiting {
		if other == ho {
			bu.waiting = append(bu.waiting[:pos], bu.waiting[pos+1:]...)
			return
		}
	}
}

// Settle releases what a holder has above its base, at the end of a request. It returns
// the holders that have got the memory that they wait for.
func (bu *Budget) Settle(id ID) []ID {
	ho := bu.holders[id]
	if ho == nil {
		return nil
	}
	bu.stopWaiting(ho)
	return bu.Release(id, ho.held)
}

// grantWaiting gives memory to those that wait, as far as there is room. In each class
// none overtakes another.
func (bu *Budget) grantWaiting() []ID {
	if len(bu.waiting) == 0 {
		return nil
	}
	var granted []ID
	var full [classes]bool
	rest := bu.waiting[:0]
	for _, ho := range bu.waiting {
		cl := &bu.classes[ho.class]
		if full[ho.class] || ho.wanted > bu.room(ho.class) {
			full[ho.class] = true
			rest = append(rest, ho)
			continue
		}
		cl.wanted -= ho.wanted
		amount := ho.wanted
		ho.wanted = 0
		bu.grant(ho, amount)
		granted = append(granted, ho.id)
	}
	clear(bu.waiting[len(rest):])
	bu.waiting = rest
	return granted
}

// Waits reports whether a holder waits for memory.
func (bu *Budget) Waits(id ID) bool {
	ho := bu.holders[id]
	return ho != nil && ho.wanted > 0
}
