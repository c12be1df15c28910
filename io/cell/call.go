package cell

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// leaderWait bounds the wait for a leader. A caller that is told at once
	// comes back when there is one.
	leaderWait = 250 * time.Millisecond
	// leaderPoll is the time between two looks for a leader.
	leaderPoll = 20 * time.Millisecond
	// attemptTime bounds one attempt at the leader; a commit takes some tens
	// of milliseconds.
	attemptTime = 900 * time.Millisecond
)

// Call is a call of a front end. Calls are idempotent: the leader may see one
// more than once.
type Call struct {
	Method string
	Host   string
	Path   string
	Body   []byte
}

// Reply answers a Call.
type Reply struct {
	Status int
	Body   []byte
	// RetryAfter is when the caller may come back, in seconds; 0 means unset.
	RetryAfter int
}

// Handler serves calls on the leader. A *quorum.NotLeaderError says that this
// VM does not lead and that nothing was done; any other error says that the
// outcome is unknown.
type Handler func(ctx context.Context, cal Call) (Reply, error)

// Serve sets the handler of calls.
func (vm *VM) Serve(han Handler) { vm.handler.Store(&han) }

// handle runs the handler on this VM.
func (vm *VM) handle(ctx context.Context, cal Call) (Reply, error) {
	han := vm.handler.Load()
	if han == nil || vm.member == nil {
		return Reply{}, errors.Trace(&NoHandlerError{})
	}
	return (*han)(ctx, cal)
}

// serveCalls answers the calls that other VMs bring.
func (vm *VM) serveCalls() {
	peer.HandleRequest(vm.mux, func(ctx context.Context, _ model.VMID, que *wire.CellCall) (*wire.CellReply, error) {
		if vm.member == nil || !vm.member.leased() {
			return &wire.CellReply{Refused: true}, nil
		}
		rep, err := vm.handle(ctx, Call{Method: que.GetMethod(), Host: que.GetHost(), Path: que.GetPath(), Body: que.GetBody()})
		if notLeader(err) {
			return &wire.CellReply{Refused: true}, nil
		}
		if err != nil {
			return nil, err
		}
		return &wire.CellReply{Status: uint32(rep.Status), Body: rep.Body, RetryAfterS: uint32(rep.RetryAfter)}, nil
	})
}

// Route has a call served by the leader, whichever VM that is. A
// *NotReachedError means that nothing was done, a *LostReplyError that it is
// not known.
func (vm *VM) Route(ctx context.Context, cal Call) (Reply, error) {
	start := vm.clock()
	rep, err := vm.route(ctx, cal)
	callTime.Add(vm.clock().Sub(start))
	var los *LostReplyError
	switch {
	case err == nil:
		calls.Add(callServed)
	case errors.As(err, &los):
		calls.Add(callLost)
	default:
		calls.Add(callRefused)
	}
	return rep, err
}

func (vm *VM) route(ctx context.Context, cal Call) (Reply, error) {
	var lost error
	start := vm.clock()
	for {
		leader, ok := vm.leader()
		if ok {
			rep, err := vm.attempt(ctx, leader, cal)
			switch {
			case err == nil:
				return rep, nil
			case notLeader(err) || unsent(err):
				vm.forget(leader)
			default:
				lost = err
				vm.forget(leader)
			}
		}
		if ctx.Err() != nil || vm.clock().Sub(start) > leaderWait {
			break
		}
		vm.look()
		host.Pause(ctx, leaderPoll)
	}
	if lost != nil {
		return Reply{}, errors.Trace(&LostReplyError{cause: lost})
	}
	return Reply{}, errors.Trace(&NotReachedError{cause: ctx.Err()})
}

// leader returns the VM to take a call to.
func (vm *VM) leader() (model.VMID, bool) {
	if vm.member != nil && vm.member.leased() {
		return vm.self, true
	}
	cur := vm.known.Load()
	return cur.leader, cur.leader != "" && cur.leader != vm.self
}

// forget takes a VM that did not serve a call for no leader until the next
// look.
func (vm *VM) forget(id model.VMID) {
	cur := vm.known.Load()
	if cur.leader != id || id == vm.self {
		return
	}
	next := *cur
	next.leader = ""
	vm.known.CompareAndSwap(cur, &next)
	vm.look()
}

// attempt tries a call once.
func (vm *VM) attempt(ctx context.Context, leader model.VMID, cal Call) (Reply, error) {
	if leader == vm.self {
		return vm.handle(ctx, cal)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	end, _ := ctx.Deadline()
	rep, err := peer.Call[*wire.CellReply](ctx, vm.hub, leader, &wire.CellCall{
		Method: cal.Method, Host: cal.Host, Path: cal.Path, Body: cal.Body, LeftMs: uint32(time.Until(end).Milliseconds()),
	})
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if rep.GetRefused() {
		return Reply{}, errors.Trace(refused())
	}
	return Reply{Status: int(rep.GetStatus()), Body: rep.GetBody(), RetryAfter: int(rep.GetRetryAfterS())}, nil
}

// Leader returns the address for other VMs of the VM that leads, if known.
func (vm *VM) Leader() (model.VMID, bool) { return vm.leader() }
