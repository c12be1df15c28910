package cell

import (
	"context"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/limit"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// leaderTimeout is the time from the start of a call in which another attempt may
	// begin. It is short because callers retry after an error.
	leaderTimeout = 250 * time.Millisecond
	// leaderPollInterval is the pause between two attempts.
	leaderPollInterval = 20 * time.Millisecond
	// attemptTimeout bounds one attempt to have the leader on another VM serve a
	// call; a commit takes some tens of milliseconds.
	attemptTimeout = 900 * time.Millisecond
)

// Call is an HTTP request that a front end, the adapter that serves the users of
// the cell, passes to the leader. Calls must be idempotent: the leader may receive
// one more than once.
type Call struct {
	Method string
	// Host is empty for a call to which the host does not matter.
	Host string
	Path string
	Body []byte
	// Key authenticates the caller; empty for none.
	Key string
	// Centre is the data centre of the VM that took the call.
	Centre model.CentreID
	// Valid is for how long the caller waits from Arrived, the result of VM.Arrival when
	// the call was read. The call is not carried out after that. 0 means that the call
	// doesn't expire, because a late one changes nothing.
	Arrived model.Instant
	Valid   time.Duration
}

// Reply answers a Call.
type Reply struct {
	// Status is the HTTP status. 503 means that the call was not carried out.
	Status int
	Body   []byte
	// RetryAfter is the time after which the caller may retry, in seconds; 0 means
	// unset.
	RetryAfter int
}

// Handler serves calls on the leader. A *quorum.NotLeaderError means that this
// VM does not lead and that the call had no effect; after any other error the
// outcome is unknown.
type Handler func(ctx context.Context, cal Call) (Reply, error)

// Serve sets the handler that serves calls while this VM leads.
func (vm *VM) Serve(han Handler) { vm.handler.Store(&han) }

// handle passes a call to the handler of this VM. Without a handler it returns a
// *NoHandlerError.
func (vm *VM) handle(ctx context.Context, cal Call) (Reply, error) {
	han := vm.handler.Load()
	if han == nil || vm.member.Load() == nil {
		return Reply{}, errors.Trace(&NoHandlerError{})
	}
	return (*han)(ctx, cal)
}

// serveCalls answers the calls that other VMs route to this one. Refused in the
// reply means that this VM does not lead and that the call had no effect.
func (vm *VM) serveCalls() {
	peer.HandleRequest(vm.mux, func(ctx context.Context, _ model.VMID, que *wire.CellCall) (*wire.CellReply, error) {
		rep, err := vm.serveCall(ctx, que)
		switch {
		case isExpired(err):
			calls.Add(callExpired)
			return &wire.CellReply{Status: http.StatusServiceUnavailable, RetryAfterS: 1}, nil
		case isNotLeader(err):
			return &wire.CellReply{Refused: true}, nil
		case err != nil:
			return nil, err
		}
		return &wire.CellReply{Status: uint32(rep.Status), Body: rep.Body, RetryAfterS: uint32(rep.RetryAfter)}, nil
	})
}

// serveCall carries out a call that another VM forwarded. A *quorum.NotLeaderError or an
// *ExpiredError means that it had no effect.
func (vm *VM) serveCall(ctx context.Context, que *wire.CellCall) (Reply, error) {
	mem := vm.member.Load()
	if mem == nil || !mem.leased() {
		return Reply{}, errors.Trace(newNotLeaderError())
	}
	expiry, err := vm.checkMark(que, mem.status.Load().term)
	if err != nil {
		return Reply{}, err
	}
	return vm.handle(withExpiry(ctx, expiry), Call{
		Method: que.GetMethod(), Host: que.GetHost(), Path: que.GetPath(), Body: que.GetBody(),
		Key: que.GetKey(), Centre: model.CentreID(que.GetCentre()),
	})
}

// Route sends a call to the leader, which may be this VM, and returns the reply.
// A *NotReachedError or an *InvalidCallError means that the call had no effect, a
// *LostReplyError that the outcome is unknown.
func (vm *VM) Route(ctx context.Context, cal Call) (Reply, error) {
	if !utf8.ValidString(cal.Host) || !utf8.ValidString(cal.Path) || !utf8.ValidString(cal.Key) {
		calls.Add(callInvalid)
		return Reply{}, errors.Trace(&InvalidCallError{})
	}
	start := vm.clock()
	rep, err := vm.route(ctx, cal)
	callTime.Add(vm.clock().Sub(start))
	var lre *LostReplyError
	switch {
	case err == nil:
		calls.Add(callServed)
	case errors.As(err, &lre):
		calls.Add(callReplyLost)
	case isExpired(err):
		calls.Add(callExpired)
	default:
		calls.Add(callNotReached)
	}
	return rep, err
}

// route attempts the call until the leader has served it, leaderTimeout has passed
// or ctx ends.
func (vm *VM) route(ctx context.Context, cal Call) (Reply, error) {
	if !vm.leased() {
		release, err := vm.forwards.acquire(ctx, cal)
		if err != nil {
			vm.budget.Count(limit.RefusedForward)
			return Reply{}, err
		}
		defer release()
	}
	var lostErr error
	start := vm.clock()
	for {
		leader, ok := vm.findLeader()
		if ok {
			rep, err := vm.attempt(ctx, leader, cal)
			switch {
			case err == nil && lostErr != nil && deniesEffect(cal.Method, rep.Status):
				// The attempt before may have been carried out all the same.
				return Reply{}, errors.Trace(&LostReplyError{cause: lostErr})
			case err == nil:
				return rep, nil
			case isExpired(err), isNoMemory(err) && lostErr == nil:
				return Reply{}, unservedError(lostErr, err)
			case isWithoutAnswer(err):
				return Reply{}, unservedError(err, err)
			case isNotLeader(err) || isUnsent(err) || isNoMemory(err):
				vm.clearLeader(leader)
			default:
				lostErr = err
				vm.clearLeader(leader)
			}
		}
		if ctx.Err() != nil || vm.clock().Sub(start) > leaderTimeout {
			break
		}
		vm.requestDiscovery()
		host.Pause(ctx, leaderPollInterval)
	}
	return Reply{}, unservedError(lostErr, ctx.Err())
}

// unservedError returns the error of a call without a reply: a *LostReplyError if an attempt
// may have been carried out, whose error is lost, and otherwise a *NotReachedError.
func unservedError(lost, cause error) error {
	if lost != nil {
		return errors.Trace(&LostReplyError{cause: lost})
	}
	return errors.Trace(&NotReachedError{cause: cause})
}

// deniesEffect reports whether a status says that a call had no effect, which does not hold
// if an earlier attempt was carried out: a key that is unknown now may have been known then.
// Reads never have an effect.
func deniesEffect(method string, status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusUnauthorized && method != http.MethodGet
}

// findLeader returns the VM to which calls are sent: this VM if it leads under its
// lease, or else the discovered leader. It returns false if neither exists.
func (vm *VM) findLeader() (model.VMID, bool) {
	if vm.leased() {
		return vm.self, true
	}
	cur := vm.discovered.Load()
	return cur.leader, cur.leader != "" && cur.leader != vm.self
}

// clearLeader clears the leader of the published discovery, because VM id did not serve
// a call as the leader, and requests the next discovery. It does nothing if id is this
// VM or no longer the discovered leader.
func (vm *VM) clearLeader(id model.VMID) {
	cur := vm.discovered.Load()
	if cur.leader != id || id == vm.self {
		return
	}
	next := *cur
	next.leader = ""
	vm.discovered.CompareAndSwap(cur, &next)
	vm.requestDiscovery()
}

// attempt sends a call to leader once. An *ExpiredError means that the call has expired and
// was not sent.
func (vm *VM) attempt(ctx context.Context, leader model.VMID, cal Call) (Reply, error) {
	if vm.expired(cal) {
		return Reply{}, errors.Trace(&ExpiredError{})
	}
	if leader == vm.self {
		return vm.handle(withExpiry(ctx, cal.expiry()), cal)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	end, _ := ctx.Deadline()
	msg := &wire.CellCall{
		Method: cal.Method, Host: cal.Host, Path: cal.Path, Body: cal.Body, LeftMs: uint32(time.Until(end).Milliseconds()),
		Key: cal.Key, Centre: string(cal.Centre),
	}
	if cur := vm.discovered.Load(); cur.leader != leader || !vm.setMark(msg, cal, cur.ticket) {
		return Reply{}, errors.Trace(newNotLeaderError())
	}
	rep, err := peer.Call[*wire.CellReply](ctx, vm.hub, leader, msg)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if rep.GetRefused() {
		return Reply{}, errors.Trace(newNotLeaderError())
	}
	return Reply{Status: int(rep.GetStatus()), Body: rep.GetBody(), RetryAfter: int(rep.GetRetryAfterS())}, nil
}

// Leader returns the address on which the leader listens for other VMs, and false
// if no leader was discovered.
func (vm *VM) Leader() (model.VMID, bool) { return vm.findLeader() }
