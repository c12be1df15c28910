package cell

import (
	"strconv"
	"time"

	"guavarail/core/admit"
	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/group"
)

// workEventInterval is the minimum time between two events about the work of the leader.
const workEventInterval = time.Second

// leaderWork measures the time that the group's actor spends in the planner. The zero
// value is ready to use.
type leaderWork struct {
	// recordedAt is when the last event was recorded; 0 before the first interval.
	recordedAt model.Instant
	// steps counts the inputs of the planner, and sum and longest are their durations.
	steps        int
	sum, longest time.Duration
	// endedAt is the end of the last input.
	endedAt model.Instant
}

// add adds one input of the planner, which began at begin or, if that is before it, at the
// end of the last one. It returns how long the input took.
func (wo *leaderWork) add(begin, end model.Instant) time.Duration {
	dur := end.Sub(max(begin, wo.endedAt))
	wo.steps++
	wo.sum += dur
	wo.longest = max(wo.longest, dur)
	wo.endedAt = end
	return dur
}

// observe returns an event about the work since the last one, at most once in each
// workEventInterval.
func (wo *leaderWork) observe(tur group.Turn, sta *cell.State) (event.Event, bool) {
	if now := tur.Now(); now.Sub(wo.recordedAt) < workEventInterval {
		return event.Event{}, false
	}
	evt := event.New("leaderWork", event.Subject{},
		event.NewField("steps", strconv.Itoa(wo.steps)), event.NewField("stepMs", milliseconds(wo.sum)), event.NewField("maxStepMs", milliseconds(wo.longest)),
		event.NewField("queued", strconv.Itoa(tur.Queued())), event.NewField("queueAgeMs", milliseconds(tur.Age())),
		event.NewField("jobs", strconv.Itoa(sta.Jobs().Len())), event.NewField("queues", strconv.Itoa(len(sta.Document().Queues()))))
	*wo = leaderWork{recordedAt: tur.Now(), endedAt: wo.endedAt}
	return evt, true
}

// load watches how far the group's actor is behind its inputs. The actor owns it.
type load struct {
	watch admit.Watch
	// dropped is the number of items that the actor had dropped when it fell behind.
	dropped uint64
}

// observe publishes the length and the age of the actor's queue, and returns an event
// when the actor has fallen behind or caught up.
func (lo *load) observe(tur group.Turn) (event.Event, bool) {
	queueLength.Set(int64(tur.Queued()))
	queueAge.Set(tur.Age().Milliseconds())
	queueDropped.Set(int64(tur.Dropped()))
	if !lo.watch.Observe(tur.Now(), tur.Age()) {
		return event.Event{}, false
	}
	if lo.watch.Behind() {
		lo.dropped = tur.Dropped()
		return event.New("inputsLate", event.Subject{}, event.NewField("ageMs", milliseconds(tur.Age())), event.NewField("waiting", strconv.Itoa(tur.Queued())),
			event.NewField("heartbeats", strconv.Itoa(tur.Reports()))), true
	}
	return event.New("inputsOnTime", event.Subject{}, event.NewField("lateForMs", milliseconds(tur.Now().Sub(lo.watch.Since()))),
		event.NewField("worstAgeMs", milliseconds(lo.watch.Worst())), event.NewField("dropped", strconv.FormatUint(tur.Dropped()-lo.dropped, 10))), true
}
