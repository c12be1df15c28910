package sched

import (
	"slices"
	"strconv"
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// evictionSlack is the time, besides the grace of the evicted attempts, in
	// which their stops are ordered, reported and recorded.
	evictionSlack = 5 * time.Second
	// reservationEventDelay is how long a reservation lasts before events report
	// it, so that their rate is bounded while each is used within a tick.
	reservationEventDelay = time.Second
)

// orderRank compares tasks of different jobs: those of a higher rank come first
// in the order.
type orderRank int

func rankOf(pri model.Priority, borrow bool) orderRank {
	if borrow {
		return orderRank(pri) * 2
	}
	return orderRank(pri)*2 + 1
}

// reservation keeps room on a worker for the oldest waiting task of a job.
// Other tasks may use what the worker has beside it. A reservation without
// evictions is called a claim.
type reservation struct {
	bl          *backlog
	workerIndex int32
	rank        orderRank
	// need is the room to keep. withheld is the part of it that is free, which
	// is subtracted from the worker's free resources in the placement index.
	need, withheld model.Resources
	// evicting: attempts were evicted to make the room.
	evicting bool
	since    model.Instant
	// until is the time at which a claim is compared with other workers, or at
	// which the reservation ends if it is evicting.
	until model.Instant
	// recorded: an event reported the reservation.
	recorded bool
}

// reserve reserves room on the worker for the job.
func (pl *Planner[P]) reserve(now model.Instant, res *reservation) {
	res.since = now
	pl.statuses[res.workerIndex].reservation = res
	res.bl.reservations = append(res.bl.reservations, res)
	pl.reservations = append(pl.reservations, res)
	if !res.evicting {
		pl.claims++
	}
	pl.withhold(res)
}

// withhold subtracts the free part of the room from the placement index.
func (pl *Planner[P]) withhold(res *reservation) {
	free := pl.index.Free(res.workerIndex)
	res.withheld = model.NewResources(
		min(res.need.MilliCPU(), free.MilliCPU()), min(res.need.MemoryMB(), free.MemoryMB()), min(res.need.Accelerators(), free.Accelerators()))
	pl.index.Reserve(res.workerIndex, res.withheld)
	pl.countWithheld(res, 1)
}

// countWithheld adds what a reservation for a batch task withholds, times sign,
// to the sum of its rank.
func (pl *Planner[P]) countWithheld(res *reservation, sign int64) {
	if int(res.rank) < len(pl.withheldBatch) {
		pl.withheldBatch[res.rank] += sign * res.withheld.MilliCPU()
	}
}

// release returns what withhold subtracted.
func (pl *Planner[P]) release(res *reservation) {
	pl.index.Release(res.workerIndex, res.withheld)
	pl.countWithheld(res, -1)
	res.withheld = model.Resources{}
}

// endReservation ends the reservation and returns its room to the placement
// index. The outcome is "served" or why the reservation lapsed.
func (pl *Planner[P]) endReservation(now model.Instant, res *reservation, outcome string) {
	pl.release(res)
	pl.statuses[res.workerIndex].reservation = nil
	isRes := func(other *reservation) bool { return other == res }
	res.bl.reservations = slices.DeleteFunc(res.bl.reservations, isRes)
	pl.reservations = slices.DeleteFunc(pl.reservations, isRes)
	if !res.evicting {
		pl.claims--
	}
	if outcome == outcomeServed {
		res.bl.renewals = 0
	}
	if res.recorded {
		pl.emit("reservationEnded", pl.subjectOf(res), event.NewField("outcome", outcome), event.NewField("forS", seconds(now.Sub(res.since))))
	}
}

// The outcomes of a reservation.
const (
	outcomeServed = "served"
	// The job has no waiting task any longer.
	outcomeUnused = "notNeeded"
	// The worker can't take the task any longer.
	outcomeUnusable = "workerUnusable"
	// The evicted attempts did not end in time.
	outcomeLate = "late"
	// Another worker is expected to have room sooner.
	outcomeMoved = "moved"
	// Another job, to which the claim yields, took the room.
	outcomeOvertaken = "overtaken"
)

func (pl *Planner[P]) subjectOf(res *reservation) event.Subject {
	return event.Subject{Job: res.bl.job.spec.ID, Worker: pl.st.workers[res.workerIndex].id}
}

// recordReservation emits the event of a reservation that has lasted for
// reservationEventDelay, with what is missing on its worker.
func (pl *Planner[P]) recordReservation(now model.Instant, res *reservation) {
	if res.recorded || now.Sub(res.since) < reservationEventDelay {
		return
	}
	res.recorded = true
	missing := res.need.Sub(pl.st.workers[res.workerIndex].free()).Max(model.Resources{})
	sub := pl.subjectOf(res)
	if wt, ok := res.bl.peek(); ok {
		sub.Task = model.NewTaskID(sub.Job, int(wt.index)).String()
	}
	pl.emit("workerReserved", sub, event.NewField("forS", seconds(res.until.Sub(now))), event.NewField("evicting", strconv.FormatBool(res.evicting)),
		event.NewField("missingMilliCpu", strconv.FormatInt(missing.MilliCPU(), 10)), event.NewField("missingMemoryMb", strconv.FormatInt(missing.MemoryMB(), 10)),
		event.NewField("missingAccelerators", strconv.FormatInt(missing.Accelerators(), 10)))
}

// updateReservations ends the reservations that can't or need not be served any
// longer, and adapts the others to the present size of their tasks.
func (pl *Planner[P]) updateReservations(now model.Instant) {
	for _, res := range slices.Clone(pl.reservations) {
		spec := &res.bl.job.spec
		need := pl.commitment(spec)
		_, waits := res.bl.peek()
		switch {
		case !waits:
			pl.endReservation(now, res, outcomeUnused)
			continue
		case !pl.allowsJob(res.workerIndex, spec) || !need.FitsIn(pl.st.workers[res.workerIndex].size):
			pl.endReservation(now, res, outcomeUnusable)
			continue
		case now >= res.until && res.evicting:
			pl.endReservation(now, res, outcomeLate)
			continue
		case now >= res.until:
			pl.renewClaim(now, res)
			continue
		}
		if need != res.need {
			pl.release(res)
			res.need = need
			pl.withhold(res)
		}
		pl.recordReservation(now, res)
	}
}

// useReservation returns a worker that is reserved for the job and now has room
// for need, reserves need on it in the placement index and ends the
// reservation. It returns false if there is none.
func (pl *Planner[P]) useReservation(now model.Instant, bl *backlog, need model.Resources) (int32, bool) {
	for _, res := range bl.reservations {
		if pl.fitsReserved(res, &bl.job.spec, need) {
			pl.endReservation(now, res, outcomeServed)
			return res.workerIndex, pl.index.Reserve(res.workerIndex, need)
		}
	}
	return 0, false
}

// fitsReserved reports whether need fits on the worker of the reservation, in
// the reserved room too.
func (pl *Planner[P]) fitsReserved(res *reservation, spec *JobSpec, need model.Resources) bool {
	return need.FitsIn(pl.freeRoom(res.workerIndex)) && pl.allowsJob(res.workerIndex, spec)
}

// withheldShare returns the CPU in milliCPU that is withheld for batch tasks
// other than those of the job, unless they come after it in the order. It
// counts as used in the batch share, so that no task takes the share of room
// that is kept for another one.
func (pl *Planner[P]) withheldShare(bl *backlog, rank orderRank) int64 {
	sum := int64(0)
	for other := rank; other < orderRank(len(pl.withheldBatch)); other++ {
		sum += pl.withheldBatch[other]
	}
	for _, res := range bl.reservations {
		if res.rank >= rank {
			sum -= res.withheld.MilliCPU()
		}
	}
	return sum
}

// freeRoom returns the free resources of the worker, with the room that is
// reserved and without what the plan being made has taken; zero if the worker is
// not in the placement index.
func (pl *Planner[P]) freeRoom(idx int32) model.Resources {
	free := pl.index.Free(idx)
	if res := pl.statuses[idx].reservation; res != nil && pl.index.Listed(idx) {
		free = free.Add(res.withheld)
	}
	return free
}
