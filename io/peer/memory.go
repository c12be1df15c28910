package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/limit"
	"guavarail/io/wire"
)

const (
	// streamBytes is what a stream takes for its goroutine and its objects.
	streamBytes = 8 << 10
	// windowBytes is what yamux may keep of a stream that is not read.
	windowBytes = 256 << 10
)

// establishedAge is the age from which on a session is not ended for lack of memory.
const establishedAge = 30 * time.Second

// memory is what a frame that another VM sends takes of the budget.
type memory struct {
	ses   *session
	ctx   context.Context
	lease *limit.Lease
	// begun is set once the frame has taken its first buffer.
	begun bool
	// refused is set if there was no memory for the stream.
	refused bool
}

// newMemory returns the memory of one frame of a stream. If it is needed for others, the
// stream ends; see evicted.
func (ses *session) newMemory(ctx context.Context, str *stream) *memory {
	mem := &memory{ses: ses, ctx: ctx}
	mem.lease = ses.hub.cfg.Budget.Enter(buffer.VMs, func() { ses.evicted(str) })
	mem.refused = !ses.listed && mem.lease.Reserve(ctx, streamBytes) != nil
	return mem
}

// evicted ends a stream whose memory is needed for others. yamux keeps up to windowBytes of
// such a stream for a time, so the session ends with it, unless it is an established one or
// one of a VM with a known address.
func (ses *session) evicted(str *stream) {
	str.expire()
	if !ses.listed && time.Since(ses.openedAt) < establishedAge {
		ses.post(sessionFailed{ses: ses, cause: &NoMemoryError{vm: ses.hub.cfg.Self}})
	}
}

// reserve is the reserve of a frame. It is called for the first buffer of the frame, which may be
// followed by others if it has the largest size, and then for each larger one.
func (mem *memory) reserve(bytes int) error {
	if !mem.begun && bytes >= firstBuffer {
		bytes += windowBytes
	}
	mem.begun = true
	if mem.refused || mem.lease.Reserve(mem.ctx, int64(bytes)) != nil {
		mem.ses.hub.cfg.Budget.Count(limit.RefusedFrame)
		return errors.Trace(&NoMemoryError{vm: mem.ses.hub.cfg.Self})
	}
	return nil
}

// release releases the memory of the frame.
func (mem *memory) release() { mem.lease.Close() }

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
