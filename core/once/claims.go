package once

import "time"

// Claims is the replicated state. The zero value has no claims.
type Claims struct {
	byKey map[string]*claim
	// ring holds the claims in claim order from head on. Released claims leave
	// gaps, which are at most half of it.
	ring  []*claim
	head  int
	gaps  int
	clock time.Duration
}

// claim is one key with the request that holds it.
type claim struct {
	Record
	// gone is set when the claim was released.
	gone bool
}

// Apply carries out one command. Time comes from the commands and never goes
// back, so that all replicas forget the same claims.
func (cl *Claims) Apply(co Command) Result {
	cl.clock = max(cl.clock, co.at)
	cl.forget()
	ca := cl.byKey[co.key]
	switch {
	case co.op == Claim && ca == nil:
		cl.add(&claim{Record: NewRecord(co.key, co.owner, Running, cl.clock, co.bound)})
		cl.forget()
		return Result{first: true, state: Running}
	case ca == nil:
		return Result{state: None}
	case ca.owner != co.owner:
		return Result{state: cl.state(ca)}
	case co.op == Claim:
		// The proposer lost the first result. Its request is sent only after a
		// result, so the claim may be given again while it is running.
		return Result{first: ca.state == Running, state: ca.state}
	case co.op == Settle:
		// A late response turns unknown into answered; answered is final.
		ca.state = max(ca.state, co.state)
		return Result{first: true, state: ca.state}
	case co.op == Release && ca.state == Running:
		ca.gone = true
		cl.gaps++
		delete(cl.byKey, co.key)
		cl.compact()
		return Result{first: true, state: None}
	}
	return Result{state: cl.state(ca)}
}

// state is running only for as long as the request can run: its entry VM may
// have failed before it settled the claim.
func (cl *Claims) state(ca *claim) State {
	if ca.state == Running && ca.bound > 0 && cl.clock-ca.at > ca.bound {
		return Unknown
	}
	return ca.state
}

func (cl *Claims) add(ca *claim) {
	if cl.byKey == nil {
		cl.byKey = map[string]*claim{}
	}
	cl.byKey[ca.key] = ca
	cl.ring = append(cl.ring, ca)
}

// forget drops claims that are too old or too many.
func (cl *Claims) forget() {
	for cl.head < len(cl.ring) {
		ca := cl.ring[cl.head]
		if !ca.gone && cl.clock-ca.at <= keepFor && len(cl.byKey) <= keepMost {
			break
		}
		if ca.gone {
			cl.gaps--
		} else {
			delete(cl.byKey, ca.key)
		}
		cl.ring[cl.head] = nil
		cl.head++
	}
	cl.compact()
}

// compact copies the ring once half of it is unused.
func (cl *Claims) compact() {
	if unused := cl.head + cl.gaps; unused < 1024 || unused < len(cl.ring)/2 {
		return
	}
	kept := make([]*claim, 0, len(cl.byKey))
	for _, ca := range cl.ring[cl.head:] {
		if !ca.gone {
			kept = append(kept, ca)
		}
	}
	cl.ring, cl.head, cl.gaps = kept, 0, 0
}

// Len returns the number of claims.
func (cl *Claims) Len() int { return len(cl.byKey) }

// Snapshot returns a copy of all claims.
func (cl *Claims) Snapshot() Snapshot {
	res := make([]Record, 0, len(cl.byKey))
	for _, ca := range cl.ring[cl.head:] {
		if !ca.gone {
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
