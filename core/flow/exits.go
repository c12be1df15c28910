package flow

import (
	"maps"
	"time"

	"guavarail/core/model"
)

// exits holds when incarnations of workers have announced their exit, for exitRetention. The
// zero value has none.
type exits struct {
	announcedAt map[Incarnation]model.Instant
}

// note records the announcement of an incarnation.
func (ex *exits) note(now model.Instant, inc Incarnation) {
	ex.dropOld(now)
	if ex.announcedAt == nil {
		ex.announcedAt = map[Incarnation]model.Instant{}
	}
	ex.announcedAt[inc] = now
}

// has reports whether an incarnation has announced its exit.
func (ex *exits) has(inc Incarnation) bool {
	_, ok := ex.announcedAt[inc]
	return ok
}

// since returns how long ago an incarnation has announced its exit.
func (ex *exits) since(now model.Instant, inc Incarnation) time.Duration {
	return now.Sub(ex.announcedAt[inc])
}

// dropOld drops the announcements that are older than exitRetention.
func (ex *exits) dropOld(now model.Instant) {
	maps.DeleteFunc(ex.announcedAt, func(inc Incarnation, _ model.Instant) bool { return ex.since(now, inc) > exitRetention })
}
