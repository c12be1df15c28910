package limit

import (
	"context"

	"github.com/juju/errors"

	"guavarail/core/buffer"
)

// SizeError reports work that needs more memory than its class of clients may have.
type SizeError struct{}

// Error describes the failure.
func (err *SizeError) Error() string { return "the request needs more memory than one may have" }

// Take takes memory for work that is not a connection, such as decoding a request, until
// the returned function is called. It waits as Lease.Reserve does. Its error is a
// *NoMemoryError, or a *SizeError if waiting cannot help.
func (bud *Budget) Take(ctx context.Context, cl buffer.Class, amount int64) (func(), error) {
	if !bud.Bounded() || amount <= buffer.BaseBytes {
		return func() {}, nil
	}
	if !bud.Fits(cl, amount) {
		bud.Count(LargeBody)
		return func() {}, errors.Trace(&SizeError{})
	}
	le := bud.Enter(cl, func() {})
	if le.Reserve(ctx, amount) != nil || !le.Serve() {
		le.Close()
		bud.Count(RefusedMemory)
		return func() {}, errors.Trace(&NoMemoryError{})
	}
	return le.Close, nil
}

// Fits reports whether a class of clients may ever have an amount.
func (bud *Budget) Fits(cl buffer.Class, amount int64) bool {
	if !bud.Bounded() {
		return true
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.state.Fits(cl, amount)
}
