package peer

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

// answerCopies is the number of copies of an answer that is sent: the encoded message and its
// frame.
const answerCopies = 2

// AnswerMemoryError reports that a VM had no memory for the answer to a request, which it may
// have handled.
type AnswerMemoryError struct{}

// Error describes the failure.
func (err *AnswerMemoryError) Error() string { return "there is no memory for the answer" }

// FailureType implements Typed.
func (err *AnswerMemoryError) FailureType() string { return answerMemoryType }

// heldKey is the key of heldAnswers in a context.
type heldKey struct{}

// heldAnswers holds the memory of the answers to the requests of one context.
type heldAnswers struct {
	// mu guards the fields below.
	mu     sync.Mutex
	leases []*limit.Lease
	closed bool
}

// HoldAnswers returns a context for requests whose large answers count in the budget until
// the returned function is called. Without it, an answer counts until the context of its
// request ends.
func HoldAnswers(ctx context.Context) (context.Context, func()) {
	held := &heldAnswers{}
	return context.WithValue(ctx, heldKey{}, held), held.close
}

// add adds the lease of an answer.
func (held *heldAnswers) add(le *limit.Lease) {
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.closed {
		le.Close()
		return
	}
	held.leases = append(held.leases, le)
}

// close closes all leases.
func (held *heldAnswers) close() {
	held.mu.Lock()
	defer held.mu.Unlock()
	held.closed = true
	for _, le := range held.leases {
		le.Close()
	}
}

// answerMemory is the memory of an answer that is being read. One that fits in the first
// buffer takes none.
type answerMemory struct {
	budget *limit.Budget
	ctx    context.Context
	// evict ends the stream of the answer.
	evict func()
	// lease is nil until the answer takes memory.
	lease *limit.Lease
	bytes int64
}

// reserve is a reserveFunc.
func (mem *answerMemory) reserve(bytes int) error {
	if bytes <= firstBufferBytes {
		return nil
	}
	if mem.lease == nil {
		mem.lease = mem.budget.Enter(buffer.VMs, mem.evict)
	}
	if mem.lease.Reserve(mem.ctx, int64(bytes)) != nil {
		return refuseAnswer(mem.budget)
	}
	mem.bytes += int64(bytes)
	return nil
}

// complete takes the memory for the message that is decoded from an answer of size bytes,
// and holds it and that of the frame for those who use the answer.
func (mem *answerMemory) complete(size int) error {
	if mem.lease == nil {
		return nil
	}
	mem.lease.Release(mem.bytes - int64(size))
	if mem.lease.Reserve(mem.ctx, int64(size)) != nil || !mem.lease.Serve() {
		return refuseAnswer(mem.budget)
	}
	if held, ok := mem.ctx.Value(heldKey{}).(*heldAnswers); ok {
		held.add(mem.lease)
		return nil
	}
	context.AfterFunc(mem.ctx, mem.lease.Close)
	return nil
}

// refuseAnswer counts an answer for which there is no memory, and returns the error.
func refuseAnswer(budget *limit.Budget) error {
	budget.Count(limit.RefusedAnswer)
	return errors.Trace(&AnswerMemoryError{})
}

// abandon releases the memory of an answer that is not used.
func (mem *answerMemory) abandon() { mem.lease.Close() }
