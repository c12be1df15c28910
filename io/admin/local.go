package admin

import (
	"context"
	"expvar"
	"net/http"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/rest"
)

// localAPI answers calls from the state of this VM alone: its status, the events
// that it recorded and its backend servers.
type localAPI struct {
	por Ports
}

func (la *localAPI) routes(mux *Mux) {
	Handle(mux, "GET "+rest.PathStatus, la.status)
	Handle(mux, "GET "+rest.PathEvents, la.events)
	Handle(mux, "POST "+rest.PathBackendAnnounce, la.announce)
	Handle(mux, "POST "+rest.PathBackendLeave, la.leave)
}

func (la *localAPI) status(ctx context.Context, _ *http.Request, _ Empty) (rest.Status, error) {
	return la.por.Local.Status(ctx)
}

func (la *localAPI) events(_ context.Context, req *http.Request, _ Empty) (rest.EventList, error) {
	que, err := rest.ParseEventQuery(req.URL.Query())
	if err != nil {
		return rest.EventList{}, err
	}
	fil := event.Filter{
		Job: model.JobID(que.Job), Task: que.Task, Request: que.Request,
		VM: model.VMID(que.VM), Centre: model.CentreID(que.Centre),
	}
	pag, err := la.por.Local.Events(que.After, fil, min(que.Limit, event.MaxPageRecords))
	if err != nil {
		return rest.EventList{}, err
	}
	return eventList(pag), nil
}

func (la *localAPI) announce(_ context.Context, _ *http.Request, body rest.BackendAnnounce) (rest.BackendAnnounced, error) {
	if err := la.por.Backends.Announce(body); err != nil {
		return rest.BackendAnnounced{}, err
	}
	return rest.BackendAnnounced{NextMs: announceInterval.Milliseconds()}, nil
}

func (la *localAPI) leave(_ context.Context, _ *http.Request, body rest.BackendLeave) (rest.BackendLeft, error) {
	if err := la.por.Backends.Leave(body); err != nil {
		return rest.BackendLeft{}, err
	}
	return rest.BackendLeft{StopAfterMs: stopAfterLeave.Milliseconds()}, nil
}

// eventList converts a page of events to its API form.
func eventList(pag event.Page) rest.EventList {
	out := rest.EventList{VM: string(pag.VM()), Next: pag.Next().Seq(), Dropped: pag.Lost()}
	for _, rec := range pag.Records() {
		sub := rec.Event().Subject()
		evt := rest.Event{
			TimeMs: rec.Stamp().Millis(), Count: rec.Stamp().Count(), VM: string(rec.VM()), Sequence: rec.Seq(),
			Kind: string(rec.Event().Kind()), SubjectVM: string(sub.VM), Centre: string(sub.Centre), Job: string(sub.Job),
			Task: sub.Task, Request: sub.Request, Worker: string(sub.Worker), Backend: string(sub.Backend),
			Fields: map[string]string{},
		}
		for _, fi := range rec.Event().Fields() {
			evt.Fields[fi.Key()] = fi.Value()
		}
		out.Events = append(out.Events, evt)
	}
	return out
}

// Handler returns the HTTP handler of the API address. It serves the API, the
// health checks for the load balancer and the metrics.
func Handler(por Ports, mux *Mux) http.Handler {
	top := http.NewServeMux()
	top.Handle("/v1/", mux)
	top.Handle("GET /debug/vars", expvar.Handler())
	top.HandleFunc("GET /healthz", func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = wri.Write([]byte("ok\n"))
	})
	top.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if why := por.Local.NotReadyReason(); why != "" {
			http.Error(wri, why, http.StatusServiceUnavailable)
			return
		}
		_, _ = wri.Write([]byte("ready\n"))
	})
	return top
}
