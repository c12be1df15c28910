package shed

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// turnWindow is the time constant with which decisions are forgotten, in seconds.
	turnWindow = 10.0
	// minOffered is the number of decisions below which a group has no turn, since its
	// part of refused jobs is a matter of chance.
	minOffered = 5.0
	// turnTolerance is how much less often than others a group may be refused.
	turnTolerance = 0.1
	// shortFor is how long after a refusal by the forecast jobs of other groups may be
	// refused with reason Turn.
	shortFor = time.Second
)

// tally counts decisions about a group of jobs, and forgets them with time. The zero value
// has none.
type tally struct {
	offered, refused float64
	// offeredWork and refusedWork are the same in processor seconds.
	offeredWork, refusedWork float64
	at                       model.Instant
}

// forget reduces the counts to their weight at a time.
func (ta *tally) forget(now model.Instant) {
	if !ta.at.Before(now) {
		return
	}
	decay := math.Exp(-now.Sub(ta.at).Seconds() / turnWindow)
	ta.offered *= decay
	ta.refused *= decay
	ta.offeredWork *= decay
	ta.refusedWork *= decay
	ta.at = now
}

// add counts a decision on a job with some work.
func (ta *tally) add(now model.Instant, work float64, refused bool) {
	ta.forget(now)
	ta.offered++
	ta.offeredWork += work
	if refused {
		ta.refused++
		ta.refusedWork += work
	}
}

// rate returns the fraction of the jobs that were refused.
func (ta *tally) rate() float64 { return ta.refused / max(1, ta.offered) }

// turnKey identifies the jobs that compete on equal terms: those of one priority in a service.
type turnKey struct {
	service  model.ServiceID
	priority int
}

// turnKey returns the key of the jobs that the job competes with on equal terms.
func (jo *Job) turnKey() turnKey { return turnKey{service: jo.Service, priority: jo.Priority} }

// turns balances refusals between groups of the jobs of a turnKey: the classes of size, and
// the data centres. Each is refused in proportion to what it sends. The zero value is ready
// to use.
type turns struct {
	all     tally
	classes [classCount]tally
	centres map[model.CentreID]*tally
	// accepted counts accepted jobs by their work: at 0 those without fillers, at 1 those
	// with them.
	accepted [2][workBins]tally
	// shortAt is when the forecast last refused a job; 0 for never.
	shortAt model.Instant
}

// count records a decision. A job that is refused because of its own quota says nothing about
// the room for others.
func (tu *turns) count(now model.Instant, jo *Job, de Decision) {
	if de.reason == OverQuota {
		return
	}
	refused := !de.Accepted()
	if refused && de.reason != Turn {
		tu.shortAt = now
	}
	if !refused {
		kind := 0
		if jo.filler() {
			kind = 1
		}
		tu.accepted[kind][workBin(jo.Work)].add(now, jo.Work, false)
	}
	tu.all.add(now, jo.Work, refused)
	tu.classes[de.class].add(now, jo.Work, refused)
	getOrAdd(&tu.centres, jo.Centre).add(now, jo.Work, refused)
}

// yields reports whether a job that fits must leave its place to jobs of another size or
// data centre that have been refused more often. A group is refused at most as often as all
// would be if each bore its part of the work that was refused.
func (tu *turns) yields(now model.Instant, jo *Job, class Class) bool {
	if tu.shortAt == 0 || now.Sub(tu.shortAt) > shortFor {
		return false
	}
	tu.all.forget(now)
	fair := tu.all.refusedWork / max(0.001, tu.all.offeredWork)
	for cl := range tu.classes {
		if tu.classes[class].yieldsTo(now, &tu.classes[cl], fair) {
			return true
		}
	}
	own := tu.centres[jo.Centre]
	if own == nil {
		return false
	}
	for _, other := range tu.centres {
		if own.yieldsTo(now, other, fair) {
			return true
		}
	}
	return false
}

// yieldsTo reports whether a group must leave its place to another one. fair is the part
// that each group should bear.
func (ta *tally) yieldsTo(now model.Instant, other *tally, fair float64) bool {
	ta.forget(now)
	other.forget(now)
	return ta.offered >= minOffered && other.offered >= minOffered && ta.rate() < fair && other.rate() > ta.rate()+turnTolerance
}
