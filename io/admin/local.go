package admin

import (
	"context"
	"expvar"
	"net/http"
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/rest"
)

// localAPI answers calls on what this VM itself knows.
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

func (la *localAPI) events(ctx context.Context, req *http.Request, _ Empty) (rest.EventList, error) {
	par := req.URL.Query()
	after, fault := number(par.Get("after"), "after")
	limit, fault2 := number(par.Get("limit"), "limit")
	epoch, fault3 := number(par.Get("epoch"), "epoch")
	if fas := present(fault, fault2, fault3); len(fas) > 0 {
		return rest.EventList{}, &FaultsError{faults: fas}
	}
	fil := event.Filter{
		Kind: event.Kind(par.Get("kind")), Job: model.JobID(par.Get("job")), Task: par.Get("task"),
		Request: par.Get("request"), VM: model.VMID(par.Get("vm")), Centre: model.CentreID(par.Get("centre")),
		Worker: model.WorkerID(par.Get("worker")), Backend: model.BackendID(par.Get("backend")),
	}
	pos := event.NewPosition(event.Stamp(epoch), after)
	pag, err := la.por.Local.Events(ctx, pos, fil, int(min(limit, event.MaxPage)))
	if err != nil {
		return rest.EventList{}, err
	}
	return rest.NewEventList(pag), nil
}

func (la *localAPI) announce(_ context.Context, _ *http.Request, que rest.BackendAnnounce) (rest.BackendAnnounced, error) {
	if err := la.por.Backends.Announce(que); err != nil {
		return rest.BackendAnnounced{}, err
	}
	return rest.BackendAnnounced{NextMs: announceEvery.Milliseconds()}, nil
}

func (la *localAPI) leave(_ context.Context, _ *http.Request, que rest.BackendLeave) (rest.BackendLeft, error) {
	if err := la.por.Backends.Leave(que); err != nil {
		return rest.BackendLeft{}, err
	}
	return rest.BackendLeft{StopAfterMs: leaveBound.Milliseconds()}, nil
}

// number reads a query parameter; an empty one is 0.
func number(text, name string) (uint64, *rest.Fault) {
	if text == "" {
		return 0, nil
	}
	num, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &rest.Fault{Field: name, Allowed: "a whole number of 0 or more"}
	}
	return num, nil
}

func present(fas ...*rest.Fault) []rest.Fault {
	var out []rest.Fault
	for _, fa := range fas {
		if fa != nil {
			out = append(out, *fa)
		}
	}
	return out
}

// Handler returns the HTTP handler of the API address: the API itself, the
// health checks of the load balancer and the metrics.
func Handler(por Ports, mux *Mux) http.Handler {
	top := http.NewServeMux()
	top.Handle("/v1/", mux)
	top.Handle("GET /debug/vars", expvar.Handler())
	top.HandleFunc("GET /healthz", func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = wri.Write([]byte("ok\n"))
	})
	top.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if why := por.Local.Ready(); why != "" {
			http.Error(wri, why, http.StatusServiceUnavailable)
			return
		}
		_, _ = wri.Write([]byte("ready\n"))
	})
	return top
}
