package worker

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/rest"
)

// Guards the loops of a worker against a real HTTP server: the worker must report,
// carry out an order, report the end of the attempt, announce its backend server
// and leave.
func TestWorkerAgainstAPI(t *testing.T) {
	reports, announced := make(chan rest.WorkerReport, 100), make(chan rest.BackendAnnounce, 100)
	var ordered bool
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rest.PathWorkerReport, func(wri http.ResponseWriter, req *http.Request) {
		var rep rest.WorkerReport
		_ = json.NewDecoder(req.Body).Decode(&rep)
		rsp := rest.WorkerOrders{Tag: rep.Tag + 1, LeaseMs: 10_000}
		if !ordered {
			ordered = true
			rsp.Orders = []rest.Order{startOrder("j/0", 1)}
		}
		_ = json.NewEncoder(wri).Encode(rsp)
		select {
		case reports <- rep:
		default:
		}
	})
	mux.HandleFunc("POST "+rest.PathBackendAnnounce, func(wri http.ResponseWriter, req *http.Request) {
		var ann rest.BackendAnnounce
		_ = json.NewDecoder(req.Body).Decode(&ann)
		_, _ = wri.Write([]byte(`{"nextMs":1000}`))
		select {
		case announced <- ann:
		default:
		}
	})
	mux.HandleFunc("POST "+rest.PathBackendLeave, func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = wri.Write([]byte(`{}`))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	sys, stopSys := host.NewSystem(hclog.NewNullLogger())
	defer stopSys()
	wor, stop, err := New(Config{
		System: sys, Name: "w-1", Rack: "r", Size: model.NewResources(4000, 100, 0),
		// Nothing listens on the first address: the worker must use the next one.
		Addresses: []string{"127.0.0.1:1", strings.TrimPrefix(srv.URL, "http://")},
		Service:   "orders", Listen: "127.0.0.1:0", Slots: 8, Connections: 60,
		Workload: Workload{RunTime: func(rest.Order) time.Duration { return 10 * time.Millisecond }},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for {
		rep := receive(t, reports)
		if len(rep.Attempts) == 1 && rep.Attempts[0].State == succeeded {
			if rep.Tag == 0 {
				t.Error("the report does not repeat the tag of the last response")
			}
			break
		}
	}
	if ann := receive(t, announced); ann.Address != wor.Address() || ann.Slots != 8 || ann.Incarnation == 0 {
		t.Errorf("announced %+v", ann)
	}
	wor.Leave()
	receive(t, wor.LeaveAccepted())
}

// receive returns the next value, or fails the test after 20 s.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case val := <-from:
		return val
	case <-time.After(20 * time.Second):
		t.Fatal("received nothing within 20 s")
		panic("unreachable")
	}
}
