package slots

import (
	"slices"
	"strings"

	"guavarail/core/model"
)

// settle computes the shares of the touched workers and sends the grants.
func (le *Lender) settle(now model.Instant) {
	for _, po := range le.touched {
		po.marked = false
		le.divide(now, po)
	}
	le.touched = le.touched[:0]
	for _, se := range le.order {
		if se.due {
			le.send(se)
		}
	}
}

// divide sets the targets of all VMs for one worker and grants free credits.
func (le *Lender) divide(now model.Instant, po *pool) {
	acs, wants := le.live(now, po)
	free := po.slots - le.used(po)
	for i, target := range fill(po.slots, wants, offset(po.worker, len(wants))) {
		ac := acs[i]
		ac.target = target
		if more := min(target-ac.granted, free); more > 0 {
			ac.granted += more
			free -= more
		}
	}
	empty := po.unknown == 0
	for _, se := range le.order {
		if ac := se.accs[po.worker]; ac != nil {
			se.mark(ac)
			empty = empty && ac.granted == 0 && ac.slots == 0
		}
	}
	if empty && le.used(po) == 0 {
		le.forget(po)
	}
}

// live resets the targets of a worker and returns the accounts that can get
// credits with what they want, which is at least one for the next request.
func (le *Lender) live(now model.Instant, po *pool) ([]*account, []int) {
	var acs []*account
	var wants []int
	po.slots = 0
	for _, se := range le.order {
		ac := se.accs[po.worker]
		if ac == nil {
			continue
		}
		ac.target = 0
		if ac.slots == 0 || now.Sub(se.heard) >= model.WithDrift(Lease) {
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

// used returns the credits that are granted or may be.
func (le *Lender) used(po *pool) int {
	used := po.unknown
	for _, gh := range le.orphans {
		used += gh.granted[po]
	}
	for _, se := range le.order {
		if ac := se.accs[po.worker]; ac != nil {
			used += ac.granted
		}
	}
	return used
}

func (le *Lender) forget(po *pool) {
	delete(le.workers, po.worker)
	for _, se := range le.order {
		delete(se.accs, po.worker)
	}
}

// mark queues the share of ac when the VM does not know it.
func (se *session) mark(ac *account) {
	sh := NewShare(ac.pool.worker, ac.granted, ac.target)
	if sh == ac.told {
		return
	}
	if !ac.open {
		ac.open = true
		se.open = append(se.open, ac)
	}
	ac.told = sh
	ac.changed = se.seq + 1
	se.due = true
}

// send sends the shares that the VM has not acknowledged.
func (le *Lender) send(se *session) {
	se.due = false
	se.seq++
	spec := GrantSpec{VM: se.vm, Boot: se.boot, Term: le.term, Number: se.number, Sequence: se.seq}
	se.open = slices.DeleteFunc(se.open, func(ac *account) bool {
		ac.open = ac.changed > se.ack
		return !ac.open
	})
	for _, ac := range se.open {
		spec.Shares = append(spec.Shares, ac.told)
	}
	le.out = append(le.out, NewGrant(spec))
}

// fill divides slots: first evenly up to what each VM wants, then the rest
// evenly, so that an idle VM can serve a burst at once. start rotates who gets
// the remainder, so that it differs from worker to worker.
func fill(slots int, wants []int, start int) []int {
	num := len(wants)
	out := make([]int, num)
	give := func(open func(i int) bool) bool {
		best := -1
		for k := range num {
			i := (start + k) % num
			if open(i) && (best < 0 || out[i] < out[best]) {
				best = i
			}
		}
		if best >= 0 {
			out[best]++
		}
		return best >= 0
	}
	for range slots {
		if !give(func(i int) bool { return out[i] < wants[i] }) && !give(func(int) bool { return true }) {
			break
		}
	}
	return out
}

func offset(wo model.WorkerID, num int) int {
	if num == 0 {
		return 0
	}
	hash := uint32(2166136261)
	for i := range len(wo) {
		hash = (hash ^ uint32(wo[i])) * 16777619
	}
	return int(hash % uint32(num))
}

func (se *session) granted() int {
	sum := 0
	for _, ac := range se.accs {
		sum += ac.granted
	}
	return sum
}

// accounts returns the accounts by worker, for a fixed iteration order.
func (se *session) accounts() []*account {
	out := make([]*account, 0, len(se.accs))
	for _, ac := range se.accs {
		out = append(out, ac)
	}
	slices.SortFunc(out, func(one, two *account) int { return comparePools(one.pool, two.pool) })
	return out
}

func (le *Lender) pools() []*pool {
	out := make([]*pool, 0, len(le.workers))
	for _, po := range le.workers {
		out = append(out, po)
	}
	slices.SortFunc(out, comparePools)
	return out
}

func sortedPools(of map[*pool]int) []*pool {
	out := make([]*pool, 0, len(of))
	for po := range of {
		out = append(out, po)
	}
	slices.SortFunc(out, comparePools)
	return out
}

func comparePools(one, two *pool) int { return strings.Compare(string(one.worker), string(two.worker)) }

// Granted returns the credits of worker that are counted for the VM.
func (le *Lender) Granted(vm model.VMID, wo model.WorkerID) int {
	if se := le.sessions[vm]; se != nil && se.accs[wo] != nil {
		return se.accs[wo].granted
	}
	return 0
}

// Collecting reports whether the lender still waits for VMs to report what
// they hold from earlier leaders.
func (le *Lender) Collecting(now model.Instant) bool { return le.collecting(now) }
