// Package caller is an open-loop caller of a service: it sends requests at
// their times whether or not earlier ones were answered, and records what came
// back for each.
package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/io/fake/worker"
)

const (
	defaultInFlight = 4096
	defaultTimeout  = time.Minute
	// slack is read beyond the expected body, to notice one that is too long.
	slack = 1 << 10
)

// The headers of the request path that the caller sends and reads.
const (
	headerOutcome    = "Guavarail-Outcome"
	headerDeadline   = "Guavarail-Deadline-Ms"
	headerCaller     = "Guavarail-Caller"
	headerIdempotent = "Guavarail-Idempotent"
	headerKey        = "Idempotency-Key"
)

// Request describes one request.
type Request struct {
	// Work is the time that it takes on the backend server.
	Work time.Duration
	// Size is the size of the response in bytes.
	Size int
	// NonIdempotent marks it as not to be run twice.
	NonIdempotent bool
	// Key is its idempotency key; empty for none.
	Key string
	// Deadline is left out when it is 0.
	Deadline time.Duration
}

// Config describes a caller.
type Config struct {
	// Name is sent as the caller and starts the id of each request.
	Name string
	// Targets are the addresses of entry VMs; requests take turns.
	Targets []string
	// Ready says whether a target takes requests, as the load balancer of the
	// platform learns it; nil means that all do.
	Ready   func(target string) bool
	Service string
	// Count is the number of requests and Rate how many are sent a second, at
	// random times that Seed fixes.
	Count int
	Rate  float64
	Seed  uint64
	// Request describes request num; nil means the zero Request.
	Request func(num int) Request
	// MaxInFlight bounds the requests without an answer; 0 means 4096. A request
	// beyond it is recorded as skipped.
	MaxInFlight int
	// Timeout bounds each request; 0 means a minute.
	Timeout time.Duration
}

// Run sends all requests and returns what came back, in the order of their
// times. It ends early with ctx and then waits for the requests under way.
func Run(ctx context.Context, cfg Config) []Result {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultInFlight
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Request == nil {
		cfg.Request = func(int) Request { return Request{} }
	}
	trp := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}
	defer trp.CloseIdleConnections()
	cal := &caller{cfg: cfg, http: &http.Client{Transport: trp, Timeout: cfg.Timeout}, ended: make(chan Result, cfg.MaxInFlight)}
	return cal.run(ctx)
}

// caller is one run. Its goroutine owns the results.
type caller struct {
	cfg  Config
	http *http.Client
	// ended receives the result of each request when its goroutine ends.
	ended   chan Result
	flying  int
	results []Result
}

func (cal *caller) run(ctx context.Context) []Result {
	rng := rand.New(rand.NewPCG(cal.cfg.Seed, 0))
	at := time.Now()
	tim := time.NewTimer(0)
	defer tim.Stop()
	for num := 0; num < cal.cfg.Count && len(cal.cfg.Targets) > 0; {
		select {
		case <-ctx.Done():
			num = cal.cfg.Count
		case res := <-cal.ended:
			cal.collect(res)
		case <-tim.C:
			cal.send(ctx, num, at)
			num++
			if cal.cfg.Rate > 0 {
				at = at.Add(time.Duration(rng.ExpFloat64() / cal.cfg.Rate * float64(time.Second)))
			}
			tim.Reset(time.Until(at))
		}
	}
	for cal.flying > 0 {
		cal.collect(<-cal.ended)
	}
	return cal.results
}

func (cal *caller) collect(res Result) {
	cal.flying--
	cal.results[res.num] = res
}

// send starts request num, which was due at the given time.
func (cal *caller) send(ctx context.Context, num int, due time.Time) {
	res := Result{num: num, id: cal.cfg.Name + "-" + strconv.Itoa(num), request: cal.cfg.Request(num), due: due}
	res.skipped = cal.flying >= cal.cfg.MaxInFlight
	cal.results = append(cal.results, res)
	if res.skipped {
		return
	}
	cal.flying++
	go cal.exchange(ctx, res, cal.target(num))
}

// target returns the next target that is ready, or the next one if none is.
func (cal *caller) target(num int) string {
	for i := range cal.cfg.Targets {
		next := cal.cfg.Targets[(num+i)%len(cal.cfg.Targets)]
		if cal.cfg.Ready == nil || cal.cfg.Ready(next) {
			return next
		}
	}
	return cal.cfg.Targets[num%len(cal.cfg.Targets)]
}

// exchange sends one request and signals its end with the result.
func (cal *caller) exchange(ctx context.Context, res Result, target string) {
	res.err = cal.roundTrip(ctx, &res, target)
	res.latency = time.Since(res.due)
	cal.ended <- res
}

func (cal *caller) roundTrip(ctx context.Context, res *Result, target string) error {
	method := http.MethodGet
	if res.request.NonIdempotent || res.request.Key != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/"+cal.cfg.Service+"/"+res.id, nil)
	if err != nil {
		return errors.Trace(err)
	}
	cal.fill(req.Header, res)
	ans, err := cal.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = ans.Body.Close() }()
	res.status, res.outcome = ans.StatusCode, ans.Header.Get(headerOutcome)
	want := worker.ResponseBody(res.id, res.request.Size)
	body, err := io.ReadAll(io.LimitReader(ans.Body, int64(len(want)+slack)))
	res.whole = err == nil && string(body) == want
	return errors.Trace(err)
}

func (cal *caller) fill(hdr http.Header, res *Result) {
	hdr.Set(worker.HeaderID, res.id)
	hdr.Set(worker.HeaderWork, strconv.FormatInt(res.request.Work.Milliseconds(), 10))
	hdr.Set(worker.HeaderSize, strconv.Itoa(res.request.Size))
	hdr.Set(headerCaller, cal.cfg.Name)
	if res.request.NonIdempotent {
		hdr.Set(headerIdempotent, "false")
	}
	if res.request.Key != "" {
		hdr.Set(headerKey, res.request.Key)
	}
	if res.request.Deadline > 0 {
		hdr.Set(headerDeadline, strconv.FormatInt(res.request.Deadline.Milliseconds(), 10))
	}
}
