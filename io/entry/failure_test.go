package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/route"
)

// Guards against a response that ends early at the backend server and reaches the
// caller as complete.
func TestTruncatedResponseIsAborted(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) {
				con, buf, _ := http.NewResponseController(wri).Hijack()
				_, _ = buf.WriteString(head)
				_ = buf.Flush()
				_ = con.Close()
			})
			resp, err := http.Get(ha.url)
			if err != nil {
				// The caller sees the connection end, which is correct too.
				return
			}
			defer resp.Body.Close()
			if buf, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("truncated response read as complete: %q", buf)
			}
		})
	}
}

// Guards against a length or a chunked end marker that is added to a response which
// the backend server ends by closing the connection. The caller would take a
// response that was cut short for complete.
func TestResponseWithoutLengthStaysWithoutEnd(t *testing.T) {
	ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) {
		con, buf, _ := http.NewResponseController(wri).Hijack()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end")
		_ = buf.Flush()
		_ = con.Close()
	})
	resp, err := http.Get(ha.url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if buf, _ := io.ReadAll(resp.Body); string(buf) != "until the end" || len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0 {
		t.Errorf("got %q, encoding %v, length %d", buf, resp.TransferEncoding, resp.ContentLength)
	}
}

// Guards against a request that is sent again after its connection was closed,
// although it may be running.
func TestRequestIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			runs := make(chan string, 10)
			ha := newHarness(t, nil, func(wri http.ResponseWriter, req *http.Request) {
				if strings.HasSuffix(req.URL.Path, "warm") {
					return
				}
				runs <- req.Method
				con, _, _ := http.NewResponseController(wri).Hijack()
				_ = con.Close()
			})
			// The transport sends a request again only on a reused connection.
			ha.get(t, "warm")
			req, _ := http.NewRequest(method, ha.url, nil)
			req.Header.Set(HeaderCaller, "c")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != OutcomeUnknown || len(runs) != 1 {
				t.Errorf("status %d, outcome %s, %d runs", resp.StatusCode, resp.Header.Get(HeaderOutcome), len(runs))
			}
		})
	}
}

// Guards against a request that fails because its backend server could not be
// reached, although no byte was sent and another server has a free slot.
func TestUnsentRequestGoesToAnotherServer(t *testing.T) {
	ha := newHarness(t, nil, func(http.ResponseWriter, *http.Request) {})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis.Close()
	ha.Announce(route.NewBackend(route.BackendSpec{
		ID: "b-dead", Worker: "w-dead", Service: "orders", Address: lis.Addr().String(), Slots: 8,
	}), 0)
	for range 10 {
		if status, outcome, _ := ha.get(t, ""); status != 200 || outcome != OutcomeAnswered {
			t.Fatalf("got %d %s", status, outcome)
		}
	}
}

// Guards against the reuse of an expired request's slot before the late response
// arrives, and against that response reaching another caller.
func TestExpiredRequestHoldsItsSlot(t *testing.T) {
	gate := make(chan struct{})
	ha := newHarness(t, nil, func(wri http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "slow") {
			<-gate
		}
		_, _ = io.WriteString(wri, req.URL.Path)
	})
	// A share of one in 8 leaves a single slot of the worker.
	ha.SetStaticShare(0, 8)
	ha.announceAgain("b-a", "w-a", 8)
	req, _ := http.NewRequest(http.MethodGet, ha.url+"slow", nil)
	req.Header.Set(HeaderDeadline, "30")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(HeaderOutcome) != OutcomeUnknown {
		t.Fatalf("got %d %s", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
	if got := ha.slotsInUse(t); got != 1 {
		t.Fatalf("%d slots in use before the late response, want 1", got)
	}
	close(gate)
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
	if _, _, text := ha.get(t, "next"); text != "/orders/next" {
		t.Errorf("got the response %q", text)
	}
}

// Guards against a cancelled request whose slot is never freed, or is freed while the
// request still runs.
func TestCancelledRequestHoldsItsSlot(t *testing.T) {
	gate, started := make(chan struct{}), make(chan struct{})
	ha := newHarness(t, nil, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-gate
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, ha.url, nil)
	go func() {
		<-started
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	ha.waitFor(t, func() bool { return ha.Metrics().String() != "{}" })
	if got := ha.slotsInUse(t); got != 1 {
		t.Errorf("%d slots in use while the request runs, want 1", got)
	}
	close(gate)
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}

// Guards against a slot that stays in use after a caller half-closed its connection:
// it sends nothing more, but still reads the response.
func TestHalfClosedCallerFreesItsSlot(t *testing.T) {
	ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wri, "response") })
	con, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "GET /orders/ HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = con.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	// net/http may treat the half-closed connection as cancelled. The caller then gets
	// no response, which is correct too.
	if err == nil {
		if buf, err := io.ReadAll(resp.Body); err == nil && string(buf) != "response" {
			t.Errorf("got %q", buf)
		}
	}
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}

// Guards against another outcome than notRun for a request that the backend server
// rejected as not run.
func TestBackendRefusalIsNotRun(t *testing.T) {
	ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) {
		wri.Header().Set(HeaderNotRun, "true")
		wri.Header().Set(HeaderOutcome, OutcomeAnswered)
		wri.WriteHeader(http.StatusServiceUnavailable)
	})
	resp, err := http.Get(ha.url)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(HeaderOutcome) != OutcomeNotRun || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v", resp.Header)
	}
}

// Guards against an upload that stalls and blocks the handler after the deadline.
func TestSlowUploadEndsAtDeadline(t *testing.T) {
	ha := newHarness(t, nil, func(_ http.ResponseWriter, req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) })
	con, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "POST /orders/ HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"+HeaderDeadline+": 30\r\n\r\npart")
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}

// Guards against a drain that interrupts a response in flight.
func TestDrainCompletesLongResponse(t *testing.T) {
	started, gate := make(chan struct{}), make(chan struct{})
	ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wri, "first ")
		_ = http.NewResponseController(wri).Flush()
		close(started)
		<-gate
		_, _ = io.WriteString(wri, "last")
	})
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get(ha.url)
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		buf, err := io.ReadAll(resp.Body)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- string(buf)
	}()
	<-started
	done := make(chan error, 1)
	go func() { done <- ha.Drain(context.Background()) }()
	ha.waitFor(t, func() bool { return !ha.Ready() })
	close(gate)
	if text := <-got; text != "first last" {
		t.Errorf("got %q", text)
	}
	if err := <-done; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// Guards against a planned shutdown that waits for a request which never ends.
func TestDrainAbortsAtBound(t *testing.T) {
	started, gate := make(chan struct{}), make(chan struct{})
	ha := newHarness(t, nil, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-gate
	})
	defer close(gate)
	ended := make(chan error, 1)
	go func() {
		resp, err := http.Get(ha.url)
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var dre *DrainError
	if err := ha.Drain(ctx); !errors.As(err, &dre) || dre.Aborted() != 1 {
		t.Errorf("drain: %v", err)
	}
	<-ended
}

// announceAgain announces an already announced backend server with another number
// of slots.
func (srv *Server) announceAgain(id model.BackendID, wo model.WorkerID, slots int) {
	sts, _ := srv.Servers(5 * time.Second)
	for _, st := range sts {
		if st.Backend().ID() == id {
			srv.Announce(route.NewBackend(route.BackendSpec{
				ID: id, Worker: wo, Service: "orders", Address: st.Backend().Address(), Slots: slots,
			}), 0)
		}
	}
}
