// Package lines writes log lines asynchronously. While the output blocks, lines are
// dropped and counted, so that logging never blocks the caller.
package lines

import (
	"context"
	"expvar"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// queueCapacity bounds the number of queued lines, and maxQueuedBytes their size.
	queueCapacity  = 4096
	maxQueuedBytes = 2 << 20
	// maxLineBytes bounds one line, whose fields may come from clients. The rest of a longer
	// one is replaced by cut.
	maxLineBytes = 8 << 10
	cut          = "…\n"
)

// droppedLines counts the dropped lines of all writers. It is served at /debug/vars.
var droppedLines = expvar.NewInt("logDroppedLines")

// Writer is an io.Writer that queues lines for a goroutine that writes them. The zero
// value drops every line without counting it. It is safe for concurrent use.
type Writer struct {
	queue chan []byte
	// queued is the size of the lines in queue, in bytes.
	queued *atomic.Int64
	// dropped counts the lines that this writer dropped.
	dropped *atomic.Int64
}

// New returns a writer to out. The clean-up function, which may be called once, returns
// when the queued lines are written or its context ends. Lines written after that may
// be lost without being counted.
func New(out io.Writer) (Writer, func(ctx context.Context)) {
	wr := Writer{queue: make(chan []byte, queueCapacity), queued: &atomic.Int64{}, dropped: &atomic.Int64{}}
	stop, done := make(chan struct{}), make(chan struct{})
	go wr.run(out, stop, done)
	return wr, func(ctx context.Context) {
		close(stop)
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// Write queues a copy of one line, or drops the line if the queue is full. It never
// blocks and never fails.
func (wr Writer) Write(line []byte) (int, error) {
	if !wr.enqueue(shorten(line)) && wr.dropped != nil {
		wr.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(line), nil
}

// shorten returns the part of a line that is written.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return line
	}
	return append(slices.Clone(line[:maxLineBytes-len(cut)]), cut...)
}

// enqueue queues a copy of a line. It returns false if the queue is full.
func (wr Writer) enqueue(line []byte) bool {
	if wr.queue == nil {
		return false
	}
	size := int64(len(line))
	if wr.queued.Add(size) > maxQueuedBytes {
		wr.queued.Add(-size)
		return false
	}
	select {
	case wr.queue <- slices.Clone(line):
		return true
	default:
		wr.queued.Add(-size)
		return false
	}
}

// write writes a line that was taken out of the queue.
func (wr Writer) write(out io.Writer, line []byte) {
	wr.queued.Add(-int64(len(line)))
	_, _ = out.Write(line)
}

// Dropped returns the number of dropped lines.
func (wr Writer) Dropped() int64 {
	if wr.dropped == nil {
		return 0
	}
	return wr.dropped.Load()
}

// run writes lines until stop is closed and the queue is empty, and then closes done.
func (wr Writer) run(out io.Writer, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case line := <-wr.queue:
			wr.write(out, line)
		case <-stop:
			wr.drain(out)
			return
		}
	}
}

// drain writes lines until the queue is empty.
func (wr Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-wr.queue:
			wr.write(out, line)
		default:
			return
		}
	}
}
