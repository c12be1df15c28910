// Package record keeps the time line of a VM: an actor owns the ring of events,
// logs each event as one line and answers queries of other VMs.
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
	// queryTimeout bounds the wait for the recorder of the same process.
	queryTimeout = 2 * time.Second
	// maxWaiting bounds the events that wait for a log whose reader is slow.
	maxWaiting = 10_000
)

// droppedEvents counts the events that were dropped because the log did not
// keep up, at /debug/vars.
var droppedEvents = expvar.NewInt("recordDroppedEvents")

// oneLine replaces the characters that would split a log line.
var oneLine = strings.NewReplacer("\n", `\n`, "\r", `\r`)

// Config describes the recorder of one VM.
type Config struct {
	System *actor.ActorSystem
	VM     model.VMID
	// Clock stamps the events; it is shared with the links of the VM.
	Clock *Clock
	// Capacity is the number of events that are kept; 0 means the default.
	Capacity int
	Log      hclog.Logger
}

// Recorder records the events of one VM.
type Recorder struct {
	clock *Clock
	// waiting is the number of events that were noted and not yet logged.
	waiting *atomic.Int64
	ref     host.Ref[*event.Log, event.Append, event.Record]
}

// New starts a recorder. The clean-up function returns once the events that
// were noted before are logged.
func New(cfg Config) (*Recorder, func(), error) {
	if cfg.Clock == nil {
		cfg.Clock = NewClock(nil)
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	waiting := &atomic.Int64{}
	ref, stop, err := host.Spawn(cfg.System, host.Config[*event.Log, event.Append, event.Record]{
		Name:    "record-" + string(cfg.VM),
		Machine: event.NewLog(cfg.VM, cfg.Clock.Now(), cfg.Capacity),
		Clock:   host.NewClock(),
		HandleEffect: func(rec event.Record) {
			waiting.Add(-1)
			logRecord(cfg.Log, rec)
		},
	})
	if err != nil {
		return nil, stop, errors.Trace(err)
	}
	return &Recorder{clock: cfg.Clock, waiting: waiting, ref: ref}, stop, nil
}

// Clock returns the hybrid clock of the VM.
func (rec *Recorder) Clock() *Clock { return rec.clock }

// Record records an event that happens now. It does not wait; the event is
// dropped and counted if too many wait for the log.
func (rec *Recorder) Record(evt event.Event) {
	if rec.waiting.Add(1) > maxWaiting {
		rec.waiting.Add(-1)
		droppedEvents.Add(1)
		return
	}
	rec.ref.Send(event.Append{Stamp: rec.clock.Now(), Event: evt})
}

// Page returns the records after pos that fil selects, at most limit of them.
func (rec *Recorder) Page(pos event.Position, fil event.Filter, limit int) (event.Page, error) {
	pa, err := host.Read(rec.ref, queryTimeout, func(_ model.Instant, lo *event.Log) event.Page {
		return lo.Page(pos, fil, limit, rec.clock.Now())
	})
	return pa, errors.Trace(err)
}

// Serve lets other VMs query the recorder.
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

// Query asks the recorder of a VM for the records after pos that fil selects.
// The next position in the page continues from there, also after the VM was
// restarted.
func Query(ctx context.Context, sen peer.Sender, vm model.VMID, pos event.Position, fil event.Filter, limit int) (event.Page, error) {
	msg, err := peer.Call[*wire.EventPage](ctx, sen, vm, wire.EventQueryToProto(pos, fil, limit))
	if err != nil {
		return event.Page{}, errors.Annotatef(err, "query events of %s", vm)
	}
	return wire.EventPageFromProto(msg), nil
}

// logRecord writes one line with the parts of the event that are set.
func logRecord(log hclog.Logger, rec event.Record) {
	evt := rec.Event()
	sub := evt.Subject()
	args := []any{"clock", rec.Stamp().String(), "seq", rec.Seq()}
	add := func(key, val string) {
		if val != "" {
			args = append(args, key, oneLine.Replace(val))
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
		args = append(args, oneLine.Replace(fi.Key()), oneLine.Replace(fi.Value()))
	}
	log.Info(oneLine.Replace(string(evt.Kind())), args...)
}
