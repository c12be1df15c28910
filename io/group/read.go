package group

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/admit"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// readMargin is the part of a caller's time that a queued read leaves for what follows,
// though at most half of it.
const readMargin = 100 * time.Millisecond

// read runs a function once the replica holds the leader lease, or fails.
type read[M any] struct {
	ctx  context.Context
	run  func(now model.Instant, role quorum.Role, mac M)
	fail func(err error)
}

// newRead returns a read that sends the result of fn, or the error, to reply.
func newRead[T, M any](ctx context.Context, reply chan<- result[T], fn func(now model.Instant, role quorum.Role, mac M) T) read[M] {
	return read[M]{
		ctx:  ctx,
		run:  func(now model.Instant, role quorum.Role, mac M) { reply <- result[T]{val: fn(now, role, mac)} },
		fail: func(err error) { reply <- result[T]{err: err} },
	}
}

// Read runs fn on the actor under the leader lease, so that fn sees the effect
// of every command that was acknowledged before. It returns a *NotLeaderError if
// this replica does not lead. fn must not retain the state.
func Read[T any, M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref Ref[M, C, R, S], fn func(now model.Instant, role quorum.Role, mac M) T) (T, error) {
	if ref.pid == nil {
		var zero T
		return zero, quorum.NewNotLeaderError("")
	}
	return sendAndWait(ctx, ref.done, errors.Trace, func(reply chan<- result[T]) {
		ref.sys.Root.Send(ref.pid, newRead(ctx, reply, fn))
	})
}

// ReadInTurn is like Read, but fn waits in the queue of the actor among the calls. It
// returns a *BusyError at once if the turn would come later than ctx allows, and also if
// ctx ends before.
func ReadInTurn[T any, M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref Ref[M, C, R, S], fn func(now model.Instant, role quorum.Role, mac M) T) (T, error) {
	if ref.pid == nil {
		var zero T
		return zero, quorum.NewNotLeaderError("")
	}
	busy := func(error) error { return &BusyError{group: ref.group} }
	return sendAndWait(ctx, ref.done, busy, func(reply chan<- result[T]) {
		rd := newRead(ctx, reply, fn)
		now := ref.clock()
		// The actor keeps the read while it has no lease.
		it := admit.NewItem[string](admit.Calls, now, NewWork(func(Turn, M) { ref.sys.Root.Send(ref.pid, rd) }, rd.fail))
		if end, ok := ctx.Deadline(); ok {
			left := max(0, time.Until(end))
			it = it.WithDeadline(now.Add(left - min(readMargin, left/2)))
		}
		ref.Enqueue(it)
	})
}

// serveReads runs the pending reads if this replica holds the leader lease, and
// rejects them if it does not lead. While it leads without the lease, reads stay
// pending until their context ends.
func (act *groupActor[M, C, R, S]) serveReads() {
	if len(act.pendingReads) == 0 {
		return
	}
	now := act.cfg.Clock()
	role := act.node.Role(now)
	var stillPending []read[M]
	for _, rd := range act.pendingReads {
		switch {
		case role.Leased():
			rd.run(now, role, act.cfg.Replica)
		case !role.Leading():
			rd.fail(quorum.NewNotLeaderError(role.Leader()))
		case rd.ctx.Err() == nil:
			stillPending = append(stillPending, rd)
		}
	}
	act.pendingReads = stillPending
}

// result is the outcome of one request.
type result[T any] struct {
	val T
	err error
}

// sendAndWait calls send with a reply channel and waits for the result. If ctx or
// the replica ends first, it returns wrapErr of the cause. The reply channel is
// buffered, so the actor never blocks on a caller that stopped waiting.
func sendAndWait[T any](ctx context.Context, done <-chan struct{}, wrapErr func(cause error) error, send func(chan<- result[T])) (T, error) {
	reply := make(chan result[T], 1)
	send(reply)
	var zero T
	select {
	case res := <-reply:
		return res.val, res.err
	case <-ctx.Done():
		return zero, wrapErr(ctx.Err())
	case <-done:
		return zero, wrapErr(&StoppedError{})
	}
}
