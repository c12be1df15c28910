// Package caller is an open-loop load generator for a service: it sends each
// request to an entry VM at the request's scheduled time, whether or not earlier
// requests have been answered, and records the result of each. Entry VMs accept
// the requests of callers and forward them to the backend servers of a service.
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
	defaultMaxInFlight = 4096
	defaultTimeout     = time.Minute
	// maxExtraBytes is how much is read beyond the expected length of a response
	// body, to detect a body that is too long.
	maxExtraBytes = 1 << 10
)

// Headers of the request path that the caller sends or reads.
const (
	headerOutcome    = "Guavarail-Outcome"
	headerDeadline   = "Guavarail-Deadline-Ms"
	headerCaller     = "Guavarail-Caller"
	headerIdempotent = "Guavarail-Idempotent"
	headerKey        = "Idempotency-Key"
)

// Request describes one request.
type Request struct {
	// Work is the run time of the request on the backend server, in whole
	// milliseconds.
	Work time.Duration
	// Size is the size of the response in bytes.
	Size int
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
	// Key is the idempotency key; empty means none.
	Key string
	// Deadline is the time that the system has to answer the request. It is sent
	// in whole milliseconds; 0 means that the request has no deadline header.
	Deadline time.Duration
}

// Config describes a caller.
type Config struct {
	// Name is sent in the caller header. The id of request num is NAME-NUM,
	// counted from 0.
	Name string
	// Targets are the addresses of entry VMs, used in round-robin order.
	Targets []string
	// Ready reports whether a target accepts requests, like the health check of
	// the platform's load balancer; nil means that all targets do.
	Ready func(target string) bool
	// Service is the service that all requests are for.
	Service string
	// Count is the number of requests. Rate is the mean number of requests sent
	// per second, with exponentially distributed intervals generated from Seed; a
	// Rate of 0 means that all are sent at once.
	Count int
	Rate  float64
	Seed  uint64
	// Request returns the parameters of request num; nil means the zero Request.
	Request func(num int) Request
	// MaxInFlight limits the number of unanswered requests; 0 means 4096. A
	// request beyond the limit is not sent and is recorded as skipped.
	MaxInFlight int
	// Timeout limits the time from sending a request to the end of its response;
	// 0 means one minute.
	Timeout time.Duration
}

// Run sends all requests and returns their results in the order of their
// scheduled times. When ctx ends, requests in flight are cancelled and no more are
// sent; Run returns the results of those that were due before.
func Run(ctx context.Context, cfg Config) []Result {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Request == nil {
		cfg.Request = func(int) Request { return Request{} }
	}
	trp := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}
	defer trp.CloseIdleConnections()
	cal := &caller{cfg: cfg, http: &http.Client{Transport: trp, Timeout: cfg.Timeout}, completed: make(chan Result, cfg.MaxInFlight)}
	return cal.run(ctx)
}

// caller holds the state of one Run. The goroutine of Run owns inFlight and
// results.
type caller struct {
	cfg  Config
	http *http.Client
	// completed receives the result of each request from its goroutine.
	completed chan Result
	// inFlight is the number of requests that were sent and have not ended.
	inFlight int
	// results is indexed by request number. The result of a request in flight
	// is replaced when the request ends.
	results []Result
}

func (cal *caller) run(ctx context.Context) []Result {
	rng := rand.New(rand.NewPCG(cal.cfg.Seed, 0))
	due := time.Now()
	tim := time.NewTimer(0)
	defer tim.Stop()
	for num := 0; num < cal.cfg.Count && len(cal.cfg.Targets) > 0; {
		select {
		case <-ctx.Done():
			num = cal.cfg.Count
		case res := <-cal.completed:
			cal.collect(res)
		case <-tim.C:
			cal.send(ctx, num, due)
			num++
			if cal.cfg.Rate > 0 {
				due = due.Add(time.Duration(rng.ExpFloat64() / cal.cfg.Rate * float64(time.Second)))
			}
			tim.Reset(time.Until(due))
		}
	}
	for cal.inFlight > 0 {
		cal.collect(<-cal.completed)
	}
	return cal.results
}

// collect stores the result of a request that has ended.
func (cal *caller) collect(res Result) {
	cal.inFlight--
	cal.results[res.num] = res
}

// send starts request num, whose scheduled time is due, or records it as skipped.
func (cal *caller) send(ctx context.Context, num int, due time.Time) {
	res := Result{num: num, id: cal.cfg.Name + "-" + strconv.Itoa(num), request: cal.cfg.Request(num), due: due}
	res.skipped = cal.inFlight >= cal.cfg.MaxInFlight
	cal.results = append(cal.results, res)
	if res.skipped {
		return
	}
	cal.inFlight++
	go cal.exchange(ctx, res, cal.target(num))
}

// target returns the first ready target in round-robin order from num, or the
// target at num if none is ready.
func (cal *caller) target(num int) string {
	for i := range cal.cfg.Targets {
		next := cal.cfg.Targets[(num+i)%len(cal.cfg.Targets)]
		if cal.cfg.Ready == nil || cal.cfg.Ready(next) {
			return next
		}
	}
	return cal.cfg.Targets[num%len(cal.cfg.Targets)]
}

// exchange sends one request and posts its result to completed.
func (cal *caller) exchange(ctx context.Context, res Result, target string) {
	res.err = cal.roundTrip(ctx, &res, target)
	res.latency = time.Since(res.due)
	cal.completed <- res
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
	cal.setHeaders(req.Header, res)
	rsp, err := cal.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	res.status, res.outcome = rsp.StatusCode, rsp.Header.Get(headerOutcome)
	want := worker.ResponseBody(res.id, res.request.Size)
	body, err := io.ReadAll(io.LimitReader(rsp.Body, int64(len(want)+maxExtraBytes)))
	res.intact = err == nil && string(body) == want
	return errors.Trace(err)
}

func (cal *caller) setHeaders(hdr http.Header, res *Result) {
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
