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

// queueCapacity bounds the number of queued lines.
const queueCapacity = 4096

// droppedLines counts the dropped lines of all writers. It is served at /debug/vars.
var droppedLines = expvar.NewInt("logDroppedLines")

// Writer is an io.Writer that queues lines for a goroutine that writes them. The zero
// value drops every line without counting it. It is safe for concurrent use.
type Writer struct {
	queue chan []byte
	// dropped counts the lines that this writer dropped.
	dropped *atomic.Int64
}

// New returns a writer to out. The clean-up function, which may be called once, returns
// when the queued lines are written or its context ends. Lines written after that may
// be lost without being counted.
func New(out io.Writer) (Writer, func(ctx context.Context)) {
	wr := Writer{queue: make(chan []byte, queueCapacity), dropped: &atomic.Int64{}}
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
	select {
	case wr.queue <- slices.Clone(line):
	default:
		if wr.dropped != nil {
			wr.dropped.Add(1)
			droppedLines.Add(1)
		}
	}
	return len(line), nil
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
			_, _ = out.Write(line)
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
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
