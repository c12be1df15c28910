package peer

import (
	"context"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/limit"
	"guavarail/io/wire"
)

const (
	// streamBytes is the memory of the goroutine and the objects of a stream.
	streamBytes = 8 << 10
	// windowBytes is what yamux may hold of a stream that is not read.
	windowBytes = 256 << 10
)

// frameMemory is the memory that one frame of another VM takes of the budget.
type frameMemory struct {
	ses   *session
	ctx   context.Context
	lease *limit.Lease
	// started is set once memory for the first buffer was asked for.
	started bool
	// refused is set if there was no memory for the stream.
	refused bool
	// bytes is what the frame and its message take.
	bytes int64
}

// newMemory returns the memory of one frame of a stream. If the budget evicts it, the
// stream ends.
func (ses *session) newMemory(ctx context.Context, str *stream) *frameMemory {
	mem := &frameMemory{ses: ses, ctx: ctx}
	mem.lease = ses.hub.cfg.Budget.Enter(buffer.VMs, str.expire)
	mem.refused = !ses.listed && mem.lease.Reserve(ctx, streamBytes) != nil
	return mem
}

// reserve is a reserveFunc: readGrowing calls it for each buffer of the frame. A first
// buffer of the full size may be followed by others, so that windowBytes are added for
// what yamux holds, unless the link counts that.
func (mem *frameMemory) reserve(bytes int) error {
	if !mem.started && bytes >= firstBufferBytes && mem.ses.conn.bounded == nil {
		bytes += windowBytes
	}
	mem.started = true
	if mem.refused || mem.lease.Reserve(mem.ctx, int64(bytes)) != nil {
		return mem.refuse()
	}
	mem.bytes += int64(bytes)
	return nil
}

// refuse counts a refused frame and returns the error.
func (mem *frameMemory) refuse() error {
	mem.ses.hub.cfg.Budget.Count(limit.RefusedFrame)
	return errors.Trace(&NoMemoryError{vm: mem.ses.hub.cfg.Self})
}

// decode takes the memory for the message that is decoded from a frame which has been read.
// The buffers in which it arrived are garbage by then, but for the last one.
func (mem *frameMemory) decode(size int) error {
	if size <= firstBufferBytes {
		return nil
	}
	mem.lease.Release(mem.bytes - int64(size))
	if mem.lease.Reserve(mem.ctx, int64(size)) != nil {
		return mem.refuse()
	}
	mem.bytes = 2 * int64(size)
	return nil
}

// answer takes the memory for an answer of size bytes. The request has been handled by then.
func (mem *frameMemory) answer(size int) error {
	if size <= firstBufferBytes {
		return nil
	}
	mem.lease.Release(mem.bytes)
	if mem.lease.Reserve(mem.ctx, answerCopies*int64(size)) != nil {
		return refuseAnswer(mem.ses.hub.cfg.Budget)
	}
	return nil
}

// release releases the memory of the frame and of its answer.
func (mem *frameMemory) release() { mem.lease.Close() }

// readOrdered reads an ordered message. Those of VMs with a known address keep the cell
// together; they are bounded by the number of these VMs, and not refused.
func (ses *session) readOrdered(ctx context.Context, str *stream) (*wire.Envelope, error) {
	if ses.listed {
		return ses.read(str, noReserve)
	}
	mem := ses.newMemory(ctx, str)
	defer mem.release()
	return ses.read(str, mem.reserve)
}
