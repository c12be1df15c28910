package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
)

// Guards against a response that reaches the wrong caller, such as the late response
// to an expired request.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	han := func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("slow") != "" {
			time.Sleep(15 * time.Millisecond)
		}
		_, _ = io.WriteString(wri, strings.Repeat(req.URL.Path+";", 50))
	}
	ha := newHarness(t, nil, han, han, han)
	var grp sync.WaitGroup
	for i := range 16 {
		grp.Add(1)
		go func() {
			defer grp.Done()
			for j := range 30 {
				path := fmt.Sprint(i, "-", j)
				req, _ := http.NewRequest(http.MethodGet, ha.url+path, nil)
				if (i+j)%4 == 0 {
					req.URL.RawQuery = "slow=1"
					req.Header.Set(HeaderDeadline, "5")
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				buf, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				want := strings.Repeat("/orders/"+path+";", 50)
				if err != nil || (resp.Header.Get(HeaderOutcome) == OutcomeAnswered && string(buf) != want) {
					t.Errorf("%s: %q, error %v", path, buf, err)
				}
			}
		}()
	}
	grp.Wait()
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}

// fixedForwarder is a Forwarder with a fixed list of addresses.
type fixedForwarder []string

// Addresses returns the fixed list.
func (ff fixedForwarder) Addresses([]model.CentreID) []string { return ff }

// Guards against a response to a forwarded request that has no HeaderOutcome, and
// against a request that is forwarded twice. The data centre riga-a has no backend
// server and forwards to riga-b; the first address that it tries does not accept
// connections.
func TestForwardingMakesOneHop(t *testing.T) {
	seen := make(chan string, 1)
	far := newHarness(t, func(cfg *Config) { cfg.Centre = "riga-b" }, func(wri http.ResponseWriter, req *http.Request) {
		seen <- req.Header.Get(HeaderCentres)
		_, _ = io.WriteString(wri, "far")
	})
	dead, _ := net.Listen("tcp", "127.0.0.1:0")
	dead.Close()
	near := newHarness(t, func(cfg *Config) { cfg.Forwarder = fixedForwarder{dead.Addr().String(), far.Addr().String()} })
	pr, err := model.NewPreset(model.PresetSpec{Name: "peak", Forward: true})
	if err != nil {
		t.Fatal(err)
	}
	near.SetActivePreset(pr)
	far.SetActivePreset(pr)
	if status, outcome, text := near.get(t, ""); status != 200 || outcome != OutcomeAnswered || text != "far" {
		t.Fatalf("got %d %s %q", status, outcome, text)
	}
	if got := <-seen; got != "riga-a" {
		t.Errorf("data centres %q", got)
	}
	req, _ := http.NewRequest(http.MethodGet, near.url, nil)
	req.Header.Set(HeaderCentres, "riga-c")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
		t.Errorf("second hop: %d %s", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
}

// localClaims implements Claims in memory, without replication.
type localClaims struct {
	mu sync.Mutex
	cl once.Claims
}

func (lc *localClaims) apply(co once.Command) once.Result {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.cl.Apply(co)
}

// Claim applies a claim.
func (lc *localClaims) Claim(_ context.Context, key, owner string, maxRunTime time.Duration) (once.Result, error) {
	return lc.apply(once.NewClaim(key, owner, time.Hour, maxRunTime)), nil
}

// Settle applies a settlement or, for once.None, a release.
func (lc *localClaims) Settle(_ context.Context, key, owner string, st once.State) error {
	if st == once.None {
		lc.apply(once.NewRelease(key, owner, time.Hour))
		return nil
	}
	lc.apply(once.NewSettle(key, owner, st, time.Hour))
	return nil
}

// Guards against two requests with one idempotency key that both run, and against
// a key that stays claimed by a request that was not run.
func TestKeyedRequestRunsOnce(t *testing.T) {
	runs := make(chan struct{}, 100)
	ha := newHarness(t, func(cfg *Config) { cfg.Claims = &localClaims{} })
	post := func() (int, string) {
		req, _ := http.NewRequest(http.MethodPost, ha.url, strings.NewReader("order"))
		req.Header.Set(HeaderKey, "k-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get(HeaderOutcome)
	}
	if status, outcome := post(); status != 503 || outcome != OutcomeNotRun {
		t.Fatalf("without a backend server: status %d, outcome %s", status, outcome)
	}
	ha.addBackend(t, 0, func(http.ResponseWriter, *http.Request) { runs <- struct{}{} })
	if status, _ := post(); status != 200 {
		t.Fatalf("after a request that was not run: %d", status)
	}
	if status, _ := post(); status != http.StatusConflict || len(runs) != 1 {
		t.Errorf("second request: %d, %d runs", status, len(runs))
	}
}

// Guards against a key whose state stays unknown although the response, which arrived
// after the deadline of the request, showed that it was run.
func TestLateResponseSettlesItsKey(t *testing.T) {
	gate := make(chan struct{})
	cls := &localClaims{}
	ha := newHarness(t, func(cfg *Config) { cfg.Claims = cls }, func(http.ResponseWriter, *http.Request) { <-gate })
	post := func() string {
		req, _ := http.NewRequest(http.MethodPost, ha.url, nil)
		req.Header.Set(HeaderKey, "k-1")
		req.Header.Set(HeaderDeadline, "30")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.Header.Get(HeaderKeyState)
	}
	if state := post(); state != "" {
		t.Fatalf("first request found its key in state %s", state)
	}
	ha.waitFor(t, func() bool { return post() == once.Unknown.String() })
	close(gate)
	ha.waitFor(t, func() bool { return post() == once.Answered.String() })
}

// Guards against informational responses (1xx) that do not reach the caller and
// against failing protocol upgrades.
func TestInformationalAndUpgrade(t *testing.T) {
	ha := newHarness(t, nil, func(wri http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Upgrade") == "" {
			wri.Header().Set("Link", "</style.css>")
			wri.WriteHeader(http.StatusEarlyHints)
			return
		}
		wri.Header().Set("Connection", "Upgrade")
		wri.Header().Set("Upgrade", "echo")
		wri.WriteHeader(http.StatusSwitchingProtocols)
		con, buf, _ := http.NewResponseController(wri).Hijack()
		defer con.Close()
		line, _ := buf.ReadString('\n')
		_, _ = buf.WriteString(line)
		_ = buf.Flush()
	})
	var hints textproto.MIMEHeader
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, hdr textproto.MIMEHeader) error { hints = hdr; return nil },
	})
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, ha.url, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if hints.Get("Link") == "" {
		t.Error("early hints lost")
	}
	con, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "GET /orders/ HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
	rd := bufio.NewReader(con)
	if resp, err = http.ReadResponse(rd, nil); err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("upgrade: %v %v", resp, err)
	}
	_, _ = io.WriteString(con, "over\n")
	if line, _ := rd.ReadString('\n'); line != "over\n" {
		t.Errorf("echo %q", line)
	}
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}

// Guards against limits that are not applied or not counted.
func TestLimitsReject(t *testing.T) {
	ha := newHarness(t, func(cfg *Config) { cfg.Limits = Limits{BodyBytes: 10, Connections: 1} },
		func(_ http.ResponseWriter, req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) })
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := cli.Post(ha.url, "text/plain", strings.NewReader("more than ten bytes"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
		t.Errorf("got %d %s", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
	withinLimit, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer withinLimit.Close()
	overLimit, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer overLimit.Close()
	if _, err := overLimit.Read(make([]byte, 1)); err == nil {
		t.Error("a connection over the limit was served")
	}
	for _, name := range []string{"rejectedBodyTooLarge", "rejectedConnections"} {
		ha.waitFor(t, func() bool { return strings.Contains(ha.Metrics().String(), name) })
	}
}

// Guards against responses generated by net/http itself that have no HeaderOutcome
// or are not counted.
func TestUnreadableRequestIsNotRun(t *testing.T) {
	ha := newHarness(t, func(cfg *Config) { cfg.Limits = Limits{HeaderBytes: 1000, HeaderTimeout: 20 * time.Millisecond} })
	for name, head := range map[string]string{
		"rejectedMalformed":      "GET /orders HTTP/1.1\r\nbad header\r\n\r\n",
		"rejectedHeaderTooLarge": "GET /orders/ HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n",
		"closedBeforeRequest":    "GET /orders/ HTTP/1.1\r\n",
	} {
		con, err := net.Dial("tcp", ha.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(con, head)
		resp, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err == nil && resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
			t.Errorf("%s: %d without outcome", name, resp.StatusCode)
		}
		con.Close()
		ha.waitFor(t, func() bool { return strings.Contains(ha.Metrics().String(), name) })
	}
}

// Guards against a slot that stays in use because the caller stops reading the
// response.
func TestStalledReaderIsCutOff(t *testing.T) {
	ha := newHarness(t, func(cfg *Config) { cfg.Limits = Limits{StallTimeout: 50 * time.Millisecond} },
		func(wri http.ResponseWriter, _ *http.Request) {
			for range 64 {
				if _, err := wri.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		})
	con, err := net.Dial("tcp", ha.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "GET /orders/ HTTP/1.1\r\nHost: x\r\n\r\n")
	ha.waitFor(t, func() bool { return strings.Contains(ha.Metrics().String(), "answeredCancelled") })
	ha.waitFor(t, func() bool { return ha.slotsInUse(t) == 0 })
}
