package once

import "time"

// Claims is the replicated state of a group: the claims of its idempotency keys.
// The zero value is empty.
type Claims struct {
	byKey map[string]*claim
	// queue holds the claims in the order in which they were made, from index
	// head on. Released claims stay in it until the next compact; gaps is their
	// number.
	queue []*claim
	head  int
	gaps  int
	// clock is the latest time in a command, since the Unix epoch.
	clock time.Duration
}

// claim is the claim of one key by one request.
type claim struct {
	Record
	// released is set if the owner released the claim. It then only occupies a
	// place in the queue.
	released bool
}

// Apply executes one command. The clock is the latest time in any command, so
// that all replicas expire the same claims.
func (cl *Claims) Apply(co Command) Result {
	cl.clock = max(cl.clock, co.at)
	cl.expire()
	ca := cl.byKey[co.key]
	switch {
	case co.op == Claim && ca == nil:
		cl.add(&claim{Record: NewRecord(co.key, co.owner, Running, cl.clock, co.maxRunTime)})
		cl.expire()
		return Result{accepted: true, state: Running}
	case ca == nil:
		return Result{state: None}
	case ca.owner != co.owner:
		return Result{state: cl.state(ca)}
	case co.op == Claim:
		// The owner retries a claim whose result was lost. It sends its request
		// only after it has a result, so the claim may be granted again while
		// the state is still running.
		return Result{accepted: ca.state == Running, state: ca.state}
	case co.op == Settle:
		// A late response changes unknown to answered, which is final.
		ca.state = max(ca.state, co.state)
		return Result{accepted: true, state: ca.state}
	case co.op == Release && ca.state == Running:
		ca.released = true
		cl.gaps++
		delete(cl.byKey, co.key)
		cl.compact()
		return Result{accepted: true, state: None}
	}
	return Result{state: cl.state(ca)}
}

// state returns the state of a claim. A claim that has been running longer than
// its request can run becomes unknown, because the VM that proposed it may have
// failed before it settled the claim.
func (cl *Claims) state(ca *claim) State {
	if ca.state == Running && ca.maxRunTime > 0 && cl.clock-ca.at > ca.maxRunTime {
		return Unknown
	}
	return ca.state
}

func (cl *Claims) add(ca *claim) {
	if cl.byKey == nil {
		cl.byKey = map[string]*claim{}
	}
	cl.byKey[ca.key] = ca
	cl.queue = append(cl.queue, ca)
}

// expire removes the oldest claims while they exceed claimTTL or maxClaims.
func (cl *Claims) expire() {
	for cl.head < len(cl.queue) {
		ca := cl.queue[cl.head]
		if !ca.released && cl.clock-ca.at <= claimTTL && len(cl.byKey) <= maxClaims {
			break
		}
		if ca.released {
			cl.gaps--
		} else {
			delete(cl.byKey, ca.key)
		}
		cl.queue[cl.head] = nil
		cl.head++
	}
	cl.compact()
}

// compact copies the queue without its unused places once these are half of it
// and at least 1024.
func (cl *Claims) compact() {
	if unused := cl.head + cl.gaps; unused < 1024 || unused < len(cl.queue)/2 {
		return
	}
	kept := make([]*claim, 0, len(cl.byKey))
	for _, ca := range cl.queue[cl.head:] {
		if !ca.released {
			kept = append(kept, ca)
		}
	}
	cl.queue, cl.head, cl.gaps = kept, 0, 0
}

// Len returns the number of claims.
func (cl *Claims) Len() int { return len(cl.byKey) }

// Snapshot returns a copy of the state.
func (cl *Claims) Snapshot() Snapshot {
	res := make([]Record, 0, len(cl.byKey))
	for _, ca := range cl.queue[cl.head:] {
		if !ca.released {
			res = append(res, ca.Record)
		}
	}
	return Snapshot{records: res, clock: cl.clock}
}

// Restore replaces the state.
func (cl *Claims) Restore(sn Snapshot) {
	*cl = Claims{clock: sn.clock}
	for _, re := range sn.records {
		cl.add(&claim{Record: re})
	}
}
