package cell

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// smallCall is the size of a body, in bytes, up to which a call is forwarded without a
	// bound on how many are in flight, besides that of the link.
	smallCall = 4 << 10
	// maxForwardBytes bounds the bodies of larger calls that a VM forwards at once, so that
	// those of all VMs fit into the memory of the leader. A body that is larger is forwarded
	// alone.
	maxForwardBytes = 1 << 20
	// forwardWait bounds the wait for the turn of a larger call.
	forwardWait = 250 * time.Millisecond
)

// forwards bounds the larger calls that a VM forwards at once: those of callers, and apart
// from them those of workers and operators.
type forwards struct{ callers, control *semaphore.Weighted }

func newForwards() forwards {
	return forwards{callers: semaphore.NewWeighted(maxForwardBytes), control: semaphore.NewWeighted(maxForwardBytes)}
}

// acquire waits for the turn of a call. The returned function ends the turn. A
// *NotReachedError means that the turn did not come in time.
func (fwd forwards) acquire(ctx context.Context, cal Call) (func(), error) {
	if len(cal.Body) <= smallCall {
		return func() {}, nil
	}
	sem := fwd.control
	if cal.Host != "" {
		sem = fwd.callers
	}
	ctx, cancel := context.WithTimeout(ctx, forwardWait)
	defer cancel()
	weight := int64(min(len(cal.Body), maxForwardBytes))
	if err := sem.Acquire(ctx, weight); err != nil {
		return func() {}, errors.Trace(&NotReachedError{cause: err})
	}
	return func() { sem.Release(weight) }, nil
}
