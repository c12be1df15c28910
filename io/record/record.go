// Package record stores the timeline of a VM. An actor owns the ring buffer of
// events and logs each event as one line. Other VMs query the events over the
// peer connections.
package record

import (
	"context"
	"expvar"
	"strings"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// queryTimeout bounds a query of the recorder in the same process.
	queryTimeout = 2 * time.Second
	// maxQueuedEvents limits the events that wait for the recorder's actor while
	// the log output is slow.
	maxQueuedEvents = 10_000
)

// droppedEvents counts the events that were dropped because the log output was
// too slow. It is exported at /debug/vars.
var droppedEvents = expvar.NewInt("recordDroppedEvents")

// escapeLineBreaks escapes the characters that would split a log line.
var escapeLineBreaks = strings.NewReplacer("\n", `\n`, "\r", `\r`)

// Config describes the recorder of one VM.
type Config struct {
	System *actor.ActorSystem
	VM     model.VMID
	// Clock stamps the events. The peer connections of the VM share it. Nil means
	// a new clock.
	Clock *Clock
	// Capacity is the number of newest events that the ring buffer holds; 0 means
	// the default.
	Capacity int
	// Log receives one line for each event; nil means no log.
	Log hclog.Logger
}

// Recorder records and logs the events of one VM.
type Recorder struct {
	clock *Clock
	// queued is the number of events that are recorded but not yet logged.
	queued *atomic.Int64
	ref    host.Ref[*event.Log, event.Append, event.Record]
}

// New starts a recorder. The clean-up function returns once all events recorded
// before the call are logged.
func New(cfg Config) (*Recorder, func(), error) {
	if cfg.Clock == nil {
		cfg.Clock = NewClock(nil)
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	queued := &atomic.Int64{}
	ref, stop, err := host.Spawn(cfg.System, host.Config[*event.Log, event.Append, event.Record]{
		Name:    "record-" + string(cfg.VM),
		Machine: event.NewLog(cfg.VM, cfg.Clock.Now(), cfg.Capacity),
		Clock:   host.NewClock(),
		HandleEffect: func(rec event.Record) {
			queued.Add(-1)
			logRecord(cfg.Log, rec)
		},
	})
	if err != nil {
		return nil, stop, errors.Trace(err)
	}
	return &Recorder{clock: cfg.Clock, queued: queued, ref: ref}, stop, nil
}

// Clock returns the hybrid logical clock of the VM.
func (rec *Recorder) Clock() *Clock { return rec.clock }

// Record records an event that happens now. It does not block: if
// maxQueuedEvents are queued, the event is dropped and counted.
func (rec *Recorder) Record(evt event.Event) {
	if rec.queued.Add(1) > maxQueuedEvents {
		rec.queued.Add(-1)
		droppedEvents.Add(1)
		return
	}
	rec.ref.Send(event.Append{Stamp: rec.clock.Now(), Event: evt})
}

// Page returns the records after pos that match fil, at most limit of them; a
// limit below 1 means the default.
func (rec *Recorder) Page(pos event.Position, fil event.Filter, limit int) (event.Page, error) {
	pa, err := host.Read(rec.ref, queryTimeout, func(_ model.Instant, lo *event.Log) event.Page {
		return lo.Page(pos, fil, limit, rec.clock.Now())
	})
	return pa, errors.Trace(err)
}

// Serve registers the handler for event queries from other VMs.
func Serve(mux *peer.Mux, rec *Recorder) {
	peer.HandleRequest(mux, func(_ context.Context, _ model.VMID, que *wire.EventQuery) (*wire.EventPage, error) {
		pos, fil, limit := wire.EventQueryFromProto(que)
		pa, err := rec.Page(pos, fil, limit)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return wire.EventPageToProto(pa), nil
	})
}

// Query requests the records after pos that match fil from the recorder of a
// VM. The next query must start from the Next position of the page. That position
// is also valid after a restart of the VM, whose ring buffer is then read from the
// beginning.
func Query(ctx context.Context, sen peer.Sender, vm model.VMID, pos event.Position, fil event.Filter, limit int) (event.Page, error) {
	msg, err := peer.Call[*wire.EventPage](ctx, sen, vm, wire.EventQueryToProto(pos, fil, limit))
	if err != nil {
		return event.Page{}, errors.Annotatef(err, "query events of %s", vm)
	}
	return wire.EventPageFromProto(msg), nil
}

// logRecord logs an event as one line: the subject's fields that are not empty,
// then the fields of the event.
func logRecord(log hclog.Logger, rec event.Record) {
	evt := rec.Event()
	sub := evt.Subject()
	args := []any{"clock", rec.Stamp().String(), "seq", rec.Seq()}
	add := func(key, val string) {
		if val != "" {
			args = append(args, key, escapeLineBreaks.Replace(val))
		}
	}
	add("centre", string(sub.Centre))
	add("vm", string(sub.VM))
	add("job", string(sub.Job))
	add("task", sub.Task)
	add("request", sub.Request)
	add("worker", string(sub.Worker))
	add("backend", string(sub.Backend))
	for _, fi := range evt.Fields() {
		args = append(args, escapeLineBreaks.Replace(fi.Key()), escapeLineBreaks.Replace(fi.Value()))
	}
	log.Info(escapeLineBreaks.Replace(string(evt.Kind())), args...)
}
