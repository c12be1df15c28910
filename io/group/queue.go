package group

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/admit"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// nextWork makes the actor handle one item of its queue. The messages that have arrived
// before it, among them all of the replication group, are handled first.
type nextWork struct{}

// Work is a function that waits in the queue of the actor.
type Work[M any] struct {
	run  func(tur Turn, mac M)
	drop func(why error)
}

// NewWork returns a function that runs on the actor when its turn comes, regardless of
// the role. If it will not run, drop is called instead, with a *BusyError or a
// *StoppedError. Neither may block.
func NewWork[M any](run func(tur Turn, mac M), drop func(why error)) Work[M] {
	return Work[M]{run: run, drop: drop}
}

// Item is a Work with its place in the queue. The key identifies its sender.
type Item[M any] = admit.Item[string, Work[M]]

// Turn is what a Work learns about the actor when it runs.
type Turn struct {
	now  model.Instant
	role quorum.Role
	// unread is since when the oldest report waits, the current one included, and
	// oldest since when any item waits.
	unread, oldest model.Instant
	reports        int
	queued         int
	dropped        uint64
}

// Now returns the time.
func (tur Turn) Now() model.Instant { return tur.now }

// Role returns the role of the replica.
func (tur Turn) Role() quorum.Role { return tur.role }

// ReadUntil returns a time before which no report arrived that still waits, be it the
// current one.
func (tur Turn) ReadUntil() model.Instant { return tur.unread }

// Reports returns the number of reports that wait.
func (tur Turn) Reports() int { return tur.reports }

// Queued returns the number of all items that wait.
func (tur Turn) Queued() int { return tur.queued }

// Age returns the age of the oldest item, the current one included.
func (tur Turn) Age() time.Duration { return tur.now.Sub(tur.oldest) }

// Dropped returns how many items were dropped since the replica started.
func (tur Turn) Dropped() uint64 { return tur.dropped }

// Enqueue adds an item to the queue of the actor and returns immediately.
func (ref Ref[M, C, R, S]) Enqueue(it Item[M]) {
	if ref.pid == nil {
		it.Value().drop(&StoppedError{})
		return
	}
	ref.sys.Root.Send(ref.pid, it)
}

// enqueue adds an item to the queue and drops the one that it makes superfluous.
func (act *groupActor[M, C, R, S]) enqueue(ctx actor.Context, it Item[M]) {
	now := act.cfg.Clock()
	if old, verdict := act.queue.Push(now, it); verdict != admit.Queued {
		old.Value().drop(&BusyError{group: act.cfg.Group, wait: act.queue.Wait(old.Lane())})
	}
	act.scheduleWork(ctx)
}

// scheduleWork sends the actor one nextWork while its queue has items.
func (act *groupActor[M, C, R, S]) scheduleWork(ctx actor.Context) {
	if !act.workScheduled && act.queue.Len() > 0 {
		act.workScheduled = true
		ctx.Send(ctx.Self(), nextWork{})
	}
}

// work handles the next item of the queue for which somebody waits, and drops those
// before it.
func (act *groupActor[M, C, R, S]) work(ctx actor.Context) {
	act.workScheduled = false
	now := act.cfg.Clock()
	it, ok := act.queue.Pop(now)
	for ok && it.Expired(now) {
		it.Value().drop(&BusyError{group: act.cfg.Group, wait: act.queue.Wait(it.Lane())})
		it, ok = act.queue.Pop(now)
	}
	if !ok {
		return
	}
	act.scheduleWork(ctx)
	tur := Turn{
		now: now, role: act.node.Role(now), unread: act.queue.Oldest(admit.Reports, now), oldest: min(now, it.Since()),
		reports: act.queue.Waiting(admit.Reports), queued: act.queue.Len(), dropped: act.queue.Dropped(),
	}
	for _, ln := range admit.Lanes() {
		tur.oldest = min(tur.oldest, act.queue.Oldest(ln, now))
	}
	if it.Lane() == admit.Reports {
		tur.unread = min(tur.unread, it.Since())
	}
	it.Value().run(tur, act.cfg.Replica)
}

// dropQueue drops all items, because the actor stops.
func (act *groupActor[M, C, R, S]) dropQueue() {
	for {
		it, ok := act.queue.Pop(act.cfg.Clock())
		if !ok {
			return
		}
		it.Value().drop(&StoppedError{})
	}
}
