package buffer

// smallRelease is the size up to which released memory does not count until it is collected.
// Its garbage is allocated in small pieces, at a pace that the collector keeps up with, and
// members release much of it by their ordinary requests.
const smallRelease = 64 << 10

// garbage is the memory that the holders of a class have released and that the garbage
// collector has not freed yet.
type garbage struct {
	// collecting was released before the last BeginCollection, recent after it.
	collecting, recent int64
}

// bytes returns all that is not freed yet.
func (ga *garbage) bytes() int64 { return ga.collecting + ga.recent }

// Uncollected returns the memory that was released and is not freed yet.
func (bu *Budget) Uncollected() int64 {
	sum := int64(0)
	for cl := range classes {
		sum += bu.classes[cl].garbage.bytes()
	}
	return sum
}

// BeginCollection is called before a garbage collection starts. What was released before
// the call is free at the next EndCollection.
func (bu *Budget) BeginCollection() {
	for cl := range classes {
		ga := &bu.classes[cl].garbage
		ga.collecting, ga.recent = ga.bytes(), 0
	}
}

// EndCollection is called when the collection has ended that started after the last
// BeginCollection. It returns the holders that have got the memory that they wait for.
func (bu *Budget) EndCollection() []ID {
	for cl := range classes {
		bu.classes[cl].garbage.collecting = 0
	}
	return bu.grantWaiting()
}

// NeedsCollection reports whether a holder or a new connection of a class lacks memory that
// a collection would free.
func (bu *Budget) NeedsCollection() bool {
	for cl := range classes {
		sta := &bu.classes[cl]
		if sta.garbage.bytes() > 0 && (sta.wanted > 0 || bu.room(cl) < baseOf(cl)) {
			return true
		}
	}
	return false
}

// Short reports whether new connections of a class are refused until there has been a
// collection.
func (bu *Budget) Short(cl Class) bool {
	return bu.classes[cl].garbage.bytes() > 0 && bu.room(cl) < -bu.classLimit(cl)/overshootDivisor
}

// released counts memory that a holder of a class has released.
func (bu *Budget) released(cl *class, amount int64) {
	cl.held -= amount
	if bu.cfg.Deferred && amount > smallRelease {
		cl.garbage.recent += amount
	}
}

// Release releases a part of what a holder has above its base. It returns the holders that
// have got the memory that they wait for. What a link releases is free at once, because the
// buffers of its streams are used again until the link ends.
func (bu *Budget) Release(id ID, amount int64) []ID {
	ho := bu.holders[id]
	if ho == nil || !ho.heavy {
		return nil
	}
	cl := &bu.classes[ho.class]
	amount = min(amount, ho.held-ho.base)
	ho.held -= amount
	if ho.overtakes() {
		cl.held -= amount
	} else {
		bu.released(cl, amount)
	}
	if ho.closing {
		cl.freeing -= amount
	}
	if ho.held == ho.base {
		cl.heavy.Remove(ho.element)
		ho.heavy, ho.element = false, cl.light.PushBack(ho)
	}
	return bu.grantWaiting()
}
