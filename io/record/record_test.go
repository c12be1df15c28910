package record

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/peer"
)

func newTestSystem(t *testing.T) *actor.ActorSystem {
	sys, stop := host.NewSystem(hclog.NewNullLogger())
	t.Cleanup(stop)
	return sys
}

// Guards against a log line that is split by a line break in a field or lacks the
// subject of the event, and against events that are lost at shutdown.
func TestOneLineForEachEvent(t *testing.T) {
	var buf bytes.Buffer
	rec, stop, err := New(Config{
		System: newTestSystem(t), VM: "a", Clock: NewClock(func() int64 { return 0 }),
		Log: hclog.New(&hclog.LoggerOptions{Output: &buf, DisableTime: true}),
	})
	if err != nil {
		t.Fatal(err)
	}
	rec.Record(event.New("taskStarted", event.Subject{Task: "j/1", Worker: "w"}, event.NewField("reason", "two\nlines and words")))
	stop()
	// Starting the recorder uses the clock's first stamp, so the event gets the
	// second (".2").
	want := `[INFO]  taskStarted: clock=1970-01-01T00:00:00.000Z.2 seq=1 task=j/1 worker=w reason="two\nlines and words"`
	if got := strings.TrimSpace(buf.String()); got != want {
		t.Errorf("logged\n%s\nwant\n%s", got, want)
	}
}

// Guards against a timeline of two VMs in which an event comes before its cause:
// an event after the receipt of a message must follow the events before its
// sending, even if the wall clock of the sender is ahead. It also guards against a
// query that does not continue from the position of the previous page.
func TestQueryAcrossVMs(t *testing.T) {
	sys := newTestSystem(t)
	start := func(vm model.VMID, wallMs int64, mux *peer.Mux) (*Recorder, *peer.Hub) {
		rec, stop, err := New(Config{System: sys, VM: vm, Clock: NewClock(func() int64 { return wallMs })})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		Serve(mux, rec)
		hub, stop, err := peer.New(peer.Config{System: sys, Self: vm, Listen: "127.0.0.1:0", Mux: mux, Clock: rec.Clock()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		return rec, hub
	}
	recA, hubA := start("a", 9_000, &peer.Mux{})
	recB, hubB := start("b", 1_000, &peer.Mux{})
	hubA.SetPeers(map[model.VMID]string{"b": hubB.Addr()})
	hubB.SetPeers(map[model.VMID]string{"a": hubA.Addr()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	query := func(pos event.Position) event.Page {
		for {
			pa, err := Query(ctx, hubA, "b", pos, event.Filter{Job: "j"}, 2)
			if err == nil {
				return pa
			}
			if ctx.Err() != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	recA.Record(event.New("cause", event.Subject{Job: "j"}))
	pa := query(event.Position{})
	for i := range 3 {
		recB.Record(event.New(event.Kind(fmt.Sprint("effect", i)), event.Subject{Job: "j"}))
	}
	recB.Record(event.New("other", event.Subject{Job: "k"}))
	var all []event.Record
	for range 3 {
		pa = query(pa.Next())
		all = append(all, pa.Records()...)
	}
	own, err := recA.Page(event.Position{}, event.Filter{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, rec := range event.Merge(all, own.Records()) {
		got = append(got, string(rec.Event().Kind()))
	}
	if fmt.Sprint(got) != "[cause effect0 effect1 effect2]" {
		t.Errorf("order %v", got)
	}
}
