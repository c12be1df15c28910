package cell

import (
	"context"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/group"
)

// newNotLeaderError returns the error of a VM that does not lead. It names no other
// VM as the leader.
func newNotLeaderError() error { return quorum.NewNotLeaderError("") }

// Leader has the operations on the state of the cell. On a VM that does not lead,
// every operation returns a *quorum.NotLeaderError and has no effect. An operation that
// returns a *BusyError had no effect either.
type Leader struct{ vm *VM }

// AsLeader returns the operations that only the leader carries out, and false on a
// VM without a disk. The VM need not lead when AsLeader is called.
func (vm *VM) AsLeader() (Leader, bool) {
	_, ok := vm.settings.DataDir()
	return Leader{vm: vm}, ok
}

// member returns the member of this VM, or a *quorum.NotLeaderError if there is none.
func (lea Leader) member() (*member, error) {
	mem := lea.vm.member.Load()
	if mem == nil {
		return nil, errors.Trace(newNotLeaderError())
	}
	return mem, nil
}

// View reads the state under the leader lease. fn runs on the goroutine that owns
// the state and must not keep a reference to it. It returns a *BusyError at once if the
// turn of the read would come too late.
func View[T any](ctx context.Context, lea Leader, fn func(sta *cell.State) T) (T, error) {
	mem, err := lea.member()
	if err != nil {
		var zero T
		return zero, err
	}
	val, err := group.ReadInTurn(ctx, mem.ref, func(_ model.Instant, _ quorum.Role, sta *cell.State) T { return fn(sta) })
	return val, errors.Trace(err)
}

// Propose proposes a command and waits until it is applied. It returns a *BusyError if the
// call of ctx expires before the command is appended to the log.
func (lea Leader) Propose(ctx context.Context, cmd cell.Command) (cell.Result, error) {
	mem, err := lea.member()
	if err != nil {
		return cell.Result{}, err
	}
	res, err := mem.ref.ProposeBefore(ctx, expiryOf(ctx), cmd)
	return res, errors.Trace(err)
}
