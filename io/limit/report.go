package limit

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/meter"
)

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// refusals counts refusals by kind.
var refusals = meter.NewCounters("requestsLimited")

// Kind is a reason for which a request was refused or a connection closed. Its value is
// the name of its counter.
type Kind string

// Kinds of refusals. But for RefusedAnswer, the request was not carried out.
const (
	// RefusedConnection: a connection over a bound was closed.
	RefusedConnection Kind = "connectionRefused"
	// Evicted: a connection that had not sent a whole request was closed to make room.
	Evicted Kind = "connectionEvicted"
	// RefusedMemory: there was no memory for a request.
	RefusedMemory Kind = "memoryRefused"
	// LargeHead and LargeBody: a request over its limits.
	LargeHead Kind = "headTooLarge"
	LargeBody Kind = "bodyTooLarge"
	// Incomplete: a body that ended early or did not arrive in time.
	Incomplete Kind = "bodyIncomplete"
	// RefusedFrame: a frame of a link for which there was no memory.
	RefusedFrame Kind = "frameRefused"
	// RefusedForward: a call that was not forwarded, because others took the turns.
	RefusedForward Kind = "forwardRefused"
	// RefusedJob: a job for which the state had no memory.
	RefusedJob Kind = "jobMemoryRefused"
	// RefusedAnswer: an answer of a link for which there was no memory. Its request may have
	// been carried out.
	RefusedAnswer Kind = "answerRefused"
)

// Report counts refusals and logs them with a bounded number of lines. A nil report only
// counts.
type Report struct {
	log hclog.Logger
	// mu guards the fields below.
	mu sync.Mutex
	// lines has the state of the log for each kind.
	lines map[Kind]*line
}

// line is the state of the log for one kind.
type line struct {
	at time.Time
	// count is the number of refusals since the last line.
	count int
}

// NewReport returns a report that logs to log.
func NewReport(log hclog.Logger) *Report {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return &Report{log: log, lines: map[Kind]*line{}}
}

// Count counts a refusal.
func (rep *Report) Count(kind Kind) {
	refusals.Add(string(kind))
	if rep == nil {
		return
	}
	now := time.Now()
	rep.mu.Lock()
	ln := rep.lines[kind]
	if ln == nil {
		ln = &line{}
		rep.lines[kind] = ln
	}
	ln.count++
	count := ln.count
	due := now.Sub(ln.at) >= logInterval
	if due {
		ln.at, ln.count = now, 0
	}
	rep.mu.Unlock()
	if due {
		rep.log.Warn("requests limited", "reason", string(kind), "count", count, "requestMemoryBytes", heldBytes.Value(), "connections", openConnections.Value())
	}
}
