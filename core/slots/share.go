package slots

import (
	"slices"
	"strings"

	"guavarail/core/model"
)

// updateShares computes the shares of the dirty pools and sends the grants that
// are due.
func (le *Lender) updateShares(now model.Instant) {
	for _, po := range le.dirty {
		po.dirty = false
		le.dividePool(now, po)
	}
	le.dirty = le.dirty[:0]
	for _, se := range le.sessionList {
		if se.grantDue {
			le.sendGrant(se)
		}
	}
}

// dividePool sets the targets of all VMs for one worker, grants free credits to
// the VMs below their targets, and removes the pool if it is no longer used.
func (le *Lender) dividePool(now model.Instant, po *slotPool) {
	acs, wants := le.activeAccounts(now, po)
	free := po.slots - le.committed(po)
	for i, target := range maxMinShares(po.slots, wants, remainderStart(po.worker, len(wants))) {
		ac := acs[i]
		ac.target = target
		if more := min(target-ac.granted, free); more > 0 {
			ac.granted += more
			free -= more
		}
	}
	empty := po.unreportedCredits == 0
	for _, se := range le.sessionList {
		if ac := se.accounts[po.worker]; ac != nil {
			se.queueShare(ac)
			empty = empty && ac.granted == 0 && ac.slots == 0
		}
	}
	if empty && le.committed(po) == 0 {
		le.removePool(po)
	}
}

// activeAccounts sets the targets of a pool to 0 and its slots to the smallest
// number that a VM with a valid lease reported. It returns the accounts that can
// get credits and how many each wants. Each wants at least one, so that a VM
// without load can run its next request at once.
func (le *Lender) activeAccounts(now model.Instant, po *slotPool) ([]*account, []int) {
	var acs []*account
	var wants []int
	po.slots = 0
	for _, se := range le.sessionList {
		ac := se.accounts[po.worker]
		if ac == nil {
			continue
		}
		ac.target = 0
		if ac.slots == 0 || now.Sub(se.reportedAt) >= model.WithDrift(Lease) {
			continue
		}
		if po.slots == 0 || ac.slots < po.slots {
			po.slots = ac.slots
		}
		if !se.leaving {
			acs, wants = append(acs, ac), append(wants, max(ac.wanted, 1))
		}
	}
	return acs, wants
}

// committed returns the number of credits of a pool that are granted or that an
// earlier leader may have granted.
func (le *Lender) committed(po *slotPool) int {
	used := po.unreportedCredits
	for _, rs := range le.retiredSessions {
		used += rs.granted[po]
	}
	for _, se := range le.sessionList {
		if ac := se.accounts[po.worker]; ac != nil {
			used += ac.granted
		}
	}
	return used
}

func (le *Lender) removePool(po *slotPool) {
	delete(le.pools, po.worker)
	for _, se := range le.sessionList {
		delete(se.accounts, po.worker)
	}
}

// queueShare queues the share of ac for the next grant if it has changed since
// it was last sent.
func (se *session) queueShare(ac *account) {
	sh := NewShare(ac.pool.worker, ac.granted, ac.target)
	if sh == ac.lastShare {
		return
	}
	if !ac.unacked {
		ac.unacked = true
		se.unackedAccounts = append(se.unackedAccounts, ac)
	}
	ac.lastShare = sh
	ac.changedSeq = se.lastSeq + 1
	se.grantDue = true
}

// sendGrant sends a grant with the shares that the VM has not acknowledged.
func (le *Lender) sendGrant(se *session) {
	se.grantDue = false
	se.lastSeq++
	spec := GrantSpec{VM: se.vm, Boot: se.boot, Term: le.term, Number: se.lastReport, Sequence: se.lastSeq}
	se.unackedAccounts = slices.DeleteFunc(se.unackedAccounts, func(ac *account) bool {
		ac.unacked = ac.changedSeq > se.ackedSeq
		return !ac.unacked
	})
	for _, ac := range se.unackedAccounts {
		spec.Shares = append(spec.Shares, ac.lastShare)
	}
	le.out = append(le.out, NewGrant(spec))
}

// maxMinShares divides slots among VMs by max-min fairness: first evenly up to
// what each VM wants, then the rest evenly, so that an idle VM can serve a burst
// at once. start is the index in wants of the VM that gets the first slot of a
// remainder; it differs from worker to worker, so that no VM gets them all.
func maxMinShares(slots int, wants []int, start int) []int {
	num := len(wants)
	out := make([]int, num)
	// grantOne gives one slot to the eligible VM that has the fewest and reports
	// whether a VM is eligible.
	grantOne := func(eligible func(i int) bool) bool {
		best := -1
		for k := range num {
			i := (start + k) % num
			if eligible(i) && (best < 0 || out[i] < out[best]) {
				best = i
			}
		}
		if best >= 0 {
			out[best]++
		}
		return best >= 0
	}
	for range slots {
		if !grantOne(func(i int) bool { return out[i] < wants[i] }) && !grantOne(func(int) bool { return true }) {
			break
		}
	}
	return out
}

// remainderStart returns the start index for maxMinShares: the FNV-1a hash of
// the worker's identifier modulo num.
func remainderStart(wo model.WorkerID, num int) int {
	if num == 0 {
		return 0
	}
	hash := uint32(2166136261)
	for i := range len(wo) {
		hash = (hash ^ uint32(wo[i])) * 16777619
	}
	return int(hash % uint32(num))
}

func (se *session) totalGranted() int {
	sum := 0
	for _, ac := range se.accounts {
		sum += ac.granted
	}
	return sum
}

// sortedAccounts returns the accounts in order of their workers, for a
// deterministic iteration order.
func (se *session) sortedAccounts() []*account {
	out := make([]*account, 0, len(se.accounts))
	for _, ac := range se.accounts {
		out = append(out, ac)
	}
	slices.SortFunc(out, func(one, two *account) int { return comparePools(one.pool, two.pool) })
	return out
}

func (le *Lender) sortedPools() []*slotPool {
	out := make([]*slotPool, 0, len(le.pools))
	for _, po := range le.pools {
		out = append(out, po)
	}
	slices.SortFunc(out, comparePools)
	return out
}

func sortedKeys(credits map[*slotPool]int) []*slotPool {
	out := make([]*slotPool, 0, len(credits))
	for po := range credits {
		out = append(out, po)
	}
	slices.SortFunc(out, comparePools)
	return out
}

func comparePools(one, two *slotPool) int {
	return strings.Compare(string(one.worker), string(two.worker))
}

// Granted returns the number of credits of a worker that the lender counts for
// the current session of the VM, 0 if there is none.
func (le *Lender) Granted(vm model.VMID, wo model.WorkerID) int {
	if se := le.sessions[vm]; se != nil && se.accounts[wo] != nil {
		return se.accounts[wo].granted
	}
	return 0
}

// Collecting reports whether VMs may hold credits of earlier leaders that they
// have not reported in this term.
func (le *Lender) Collecting(now model.Instant) bool { return le.collecting(now) }
