package cell

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/group"
)

// refused says that this VM does not lead.
func refused() error { return quorum.NewNotLeaderError("") }

// Leader serves calls on the VM that leads the cell. Every method returns a
// *quorum.NotLeaderError, and does nothing, on another VM.
type Leader struct{ mem *member }

// Lead returns the calls that only the leader serves, and false on a VM without
// a disk.
func (vm *VM) Lead() (Leader, bool) { return Leader{mem: vm.member}, vm.member != nil }

// View reads the state under the leader lease.
func View[T any](ctx context.Context, lea Leader, fn func(sta *cell.State) T) (T, error) {
	val, err := group.Read(ctx, lea.mem.ref, func(_ model.Instant, _ quorum.Role, sta *cell.State) T { return fn(sta) })
	return val, errors.Trace(err)
}

// Propose has a command decided.
func (lea Leader) Propose(ctx context.Context, cmd cell.Command) (cell.Result, error) {
	res, err := lea.mem.ref.Propose(ctx, cmd)
	return res, errors.Trace(err)
}

// Report takes in the report of a worker and waits for its answer.
func (lea Leader) Report(ctx context.Context, be flow.Heartbeat) (flow.Answer, error) {
	reply := make(chan flow.Answer, 1)
	be.HeartbeatID = lea.mem.nextPoll.Add(1)
	lea.mem.ref.Do(func(now model.Instant, rol quorum.Role, _ *cell.State) {
		if !rol.Leased() || !lea.mem.leading {
			reply <- flow.Answer{Refused: true}
			return
		}
		lea.mem.polls[be.HeartbeatID] = reply
		lea.mem.step(now, flow.Tick{LeadUntil: rol.LeasedUntil(), Wall: time.Now().UnixMilli()})
		lea.mem.step(now, be)
	})
	select {
	case ans := <-reply:
		if ans.Refused {
			return ans, errors.Trace(refused())
		}
		return ans, nil
	case <-ctx.Done():
		lea.mem.ref.Do(func(model.Instant, quorum.Role, *cell.State) { delete(lea.mem.polls, be.HeartbeatID) })
		return flow.Answer{}, errors.Trace(ctx.Err())
	}
}

// Leave takes note that a worker exits.
func (lea Leader) Leave(ctx context.Context, worker model.WorkerID) error {
	_, err := View(ctx, lea, func(*cell.State) bool {
		lea.mem.step(lea.mem.vm.clock(), flow.Leave{Worker: worker})
		return true
	})
	return errors.Trace(err)
}
