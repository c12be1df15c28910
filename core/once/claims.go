package once

import "time"

// Claims is the part of a group's replicated state that holds the claims of
// idempotency keys. The zero value is empty.
type Claims struct {
	byKey map[string]*claim
	// queue holds the claims in the order in which they were made, from index
	// head on. Released claims stay in it until the next compact; releasedCount
	// is their number.
	queue         []*claim
	head          int
	releasedCount int
	// clock is the latest time in any applied command, since the Unix epoch.
	clock time.Duration
}

// claim is the claim of one key by one request.
type claim struct {
	Record
	// released is set if the owner released the claim, which then remains only
	// in the queue.
	released bool
}

// Apply executes one command. Claims expire by the times in the commands instead of
// the local clock, so that all replicas expire the same ones.
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
		// The owner retries a claim whose result was lost. Its request is sent
		// only after it has a result, so the request has not run yet and the
		// claim is accepted again while the state is Running.
		return Result{accepted: ca.state == Running, state: ca.state}
	case co.op == Settle:
		// A response that arrives after the state became Unknown changes it to
		// Answered, which is final.
		ca.state = max(ca.state, co.state)
		return Result{accepted: true, state: ca.state}
	case co.op == Release && ca.state == Running:
		ca.released = true
		cl.releasedCount++
		delete(cl.byKey, co.key)
		cl.compact()
		return Result{accepted: true, state: None}
	}
	return Result{state: cl.state(ca)}
}

// state returns the state of a claim. A claim that is Running for longer than its
// maxRunTime counts as Unknown, because the VM that proposed it may have failed
// before it settled the claim.
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

// expire removes the oldest claims while they are older than claimTTL or there are
// more than maxClaims.
func (cl *Claims) expire() {
	for cl.head < len(cl.queue) {
		ca := cl.queue[cl.head]
		if !ca.released && cl.clock-ca.at <= claimTTL && len(cl.byKey) <= maxClaims {
			break
		}
		if ca.released {
			cl.releasedCount--
		} else {
			delete(cl.byKey, ca.key)
		}
		cl.queue[cl.head] = nil
		cl.head++
	}
	cl.compact()
}

// compact copies the queue without its unused elements, which are those before head
// and the released claims, once there are at least 1024 of them and they make up at
// least half of the queue.
func (cl *Claims) compact() {
	if unused := cl.head + cl.releasedCount; unused < 1024 || unused < len(cl.queue)/2 {
		return
	}
	kept := make([]*claim, 0, len(cl.byKey))
	for _, ca := range cl.queue[cl.head:] {
		if !ca.released {
			kept = append(kept, ca)
		}
	}
	cl.queue, cl.head, cl.releasedCount = kept, 0, 0
}

// Len returns the number of claims, without the released ones.
func (cl *Claims) Len() int { return len(cl.byKey) }

// Snapshot returns a copy of the claims, without the released ones, and the clock.
func (cl *Claims) Snapshot() Snapshot {
	res := make([]Record, 0, len(cl.byKey))
	for _, ca := range cl.queue[cl.head:] {
		if !ca.released {
			res = append(res, ca.Record)
		}
	}
	return Snapshot{records: res, clock: cl.clock}
}

// Restore replaces the claims and the clock.
func (cl *Claims) Restore(sn Snapshot) {
	*cl = Claims{clock: sn.clock}
	for _, re := range sn.records {
		cl.add(&claim{Record: re})
	}
}
