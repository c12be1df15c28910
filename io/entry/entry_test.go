package entry

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/host"
)

// harness is an entry server with fake backend servers. url ends in the path of
// service orders.
type harness struct {
	*Server
	url string
}

// newHarness starts an entry server and a backend server for each handler. change
// may modify the configuration; it may be nil.
func newHarness(t testing.TB, change func(cfg *Config), handlers ...http.HandlerFunc) *harness {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{VM: "vm-1", Centre: "riga-a", Listener: lis, System: newSystem(), Seed: 1}
	// The clock is stopped, so that no announcement expires during a test.
	cfg.Clock = func() model.Instant { return model.Instant(time.Hour) }
	if change != nil {
		change(&cfg)
	}
	srv, stop, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	// The only entry VM may use all slots.
	srv.SetStaticShare(0, 1)
	for i, han := range handlers {
		srv.addBackend(t, i, han)
	}
	return &harness{Server: srv, url: "http://" + lis.Addr().String() + "/orders/"}
}

// addBackend starts and announces backend server num of service orders. Its worker
// has 8 slots.
func (srv *Server) addBackend(t testing.TB, num int, han http.HandlerFunc) {
	t.Helper()
	bak := httptest.NewServer(han)
	t.Cleanup(bak.Close)
	name := string(rune('a' + num))
	srv.Announce(route.NewBackend(route.BackendSpec{
		ID: model.BackendID("b-" + name), Worker: model.WorkerID("w-" + name), Service: "orders",
		Address: bak.Listener.Addr().String(), Slots: 8, Connections: 60,
	}), 0)
}

// newSystem returns an actor system that logs nothing.
func newSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
}

// slotsInUse returns the number of slots in use.
func (srv *Server) slotsInUse(t testing.TB) int {
	t.Helper()
	num, err := host.Read(srv.ref, 10*time.Second, func(_ model.Instant, mac *machine) int { return mac.SlotsInUse() })
	if err != nil {
		t.Fatal(err)
	}
	return num
}

// waitFor waits until cond returns true. The test fails after one minute.
func (srv *Server) waitFor(t testing.TB, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached, metrics %s, %d slots in use", srv.Metrics(), srv.slotsInUse(t))
		}
	}
}

// get sends a GET request and returns the status, the value of HeaderOutcome and
// the body.
func (ha *harness) get(t testing.TB, path string) (int, string, string) {
	t.Helper()
	resp, err := http.Get(ha.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	buf, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(HeaderOutcome), string(buf)
}

// Guards against a response that is modified on its way to the caller or has no
// HeaderOutcome.
func TestResponseReachesCaller(t *testing.T) {
	ha := newHarness(t, nil, func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(wri, "quote for "+req.URL.Path)
	})
	status, outcome, text := ha.get(t, "17")
	if status != 200 || outcome != OutcomeAnswered || text != "quote for /orders/17" {
		t.Errorf("got %d %s %q", status, outcome, text)
	}
}

// Guards against a request for an unknown service that is not marked as not run.
func TestUnknownServiceIsNotRun(t *testing.T) {
	ha := newHarness(t, nil)
	status, outcome, _ := ha.get(t, "17")
	if status != 503 || outcome != OutcomeNotRun {
		t.Errorf("got %d %s", status, outcome)
	}
}
