package cell

import (
	"strconv"

	"guavarail/core/admit"
	"guavarail/core/event"
	"guavarail/io/group"
)

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
