package cell

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/admit"
	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/group"
)

// result is the outcome of a call that waits in the queue of the group's actor.
type result[T any] struct {
	val T
	err error
}

// newAnswer returns the outcome of a heartbeat that the planner has answered.
func newAnswer(ans flow.Answer) result[flow.Answer] {
	if ans.Refused {
		return result[flow.Answer]{err: newNotLeaderError()}
	}
	return result[flow.Answer]{val: ans}
}

// Heartbeat passes the heartbeat of a worker to the planner and waits until the
// planner answers it or ctx ends. It sets hb.HeartbeatID, which identifies the answer.
// While it waits for its turn, a later heartbeat of the same incarnation takes its place,
// and it returns a *BusyError. After ctx has ended the heartbeat is still handled, because
// what it reports holds.
func (lea Leader) Heartbeat(ctx context.Context, hb flow.Heartbeat) (flow.Answer, error) {
	mem, err := lea.member()
	if err != nil {
		return flow.Answer{}, err
	}
	reply := make(chan result[flow.Answer], 1)
	hb.HeartbeatID = mem.lastHeartbeatID.Add(1)
	hb.Arrived = mem.vm.clock()
	run := func(tur group.Turn, _ *cell.State) {
		if !tur.Role().Leased() || !mem.leading {
			reply <- result[flow.Answer]{err: newNotLeaderError()}
			return
		}
		mem.replies[hb.HeartbeatID] = reply
		mem.step(tur.Now(), mem.planTick(tur))
		hb.ReadUntil, hb.Waiting = tur.ReadUntil(), tur.Reports()
		mem.step(tur.Now(), hb)
	}
	drop := func(why error) { reply <- result[flow.Answer]{err: why} }
	mem.ref.Enqueue(admit.NewItem[string](admit.Reports, hb.Arrived, group.NewWork(run, drop)).WithKey(hb.Incarnation.String(), hb.Sequence))
	select {
	case res := <-reply:
		return res.val, errors.Trace(res.err)
	case <-ctx.Done():
		mem.ref.Do(func(model.Instant, quorum.Role, *cell.State) { delete(mem.replies, hb.HeartbeatID) })
		return flow.Answer{}, errors.Trace(ctx.Err())
	}
}

// planTick returns the tick of the planner for a turn of the group's actor.
func (mem *member) planTick(tur group.Turn) flow.Tick {
	return flow.Tick{LeaseUntil: tur.Role().LeasedUntil(), Wall: time.Now().UnixMilli(), Posted: tur.ReadUntil(), Waiting: tur.Reports()}
}

// newLeaveAnswer returns the outcome of an announced exit that the planner has answered.
func newLeaveAnswer(ans flow.LeaveAnswer) error {
	if ans.Refused {
		return newNotLeaderError()
	}
	return nil
}

// Leave informs the planner that a worker is about to exit, after the heartbeats that the
// worker sent before, and waits until the planner answers that the worker may exit, or until ctx
// ends. It sets msg.LeaveID, which identifies the answer.
func (lea Leader) Leave(ctx context.Context, msg flow.Leave) error {
	mem, err := lea.member()
	if err != nil {
		return err
	}
	reply := make(chan error, 1)
	msg.LeaveID = mem.lastHeartbeatID.Add(1)
	run := func(tur group.Turn, _ *cell.State) {
		if !tur.Role().Leased() || !mem.leading {
			reply <- newNotLeaderError()
			return
		}
		mem.leaves[msg.LeaveID] = reply
		mem.step(tur.Now(), msg)
	}
	mem.ref.Enqueue(admit.NewItem[string](admit.Reports, mem.vm.clock(), group.NewWork(run, func(why error) { reply <- why })))
	select {
	case err := <-reply:
		return errors.Trace(err)
	case <-ctx.Done():
		mem.ref.Do(func(model.Instant, quorum.Role, *cell.State) { delete(mem.leaves, msg.LeaveID) })
		return errors.Trace(ctx.Err())
	}
}
