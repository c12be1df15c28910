package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Result is what came back for one request.
type Result struct {
	num     int
	id      string
	request Request
	due     time.Time
	status  int
	outcome string
	// whole is true when the body is complete and that of the request's id.
	whole   bool
	skipped bool
	latency time.Duration
	err     error
}

// ID returns the id of the request.
func (res Result) ID() string { return res.id }

// Request returns what was sent.
func (res Result) Request() Request { return res.request }

// Due returns when the request was due to be sent.
func (res Result) Due() time.Time { return res.due }

// Status returns the HTTP status; 0 when there was no response.
func (res Result) Status() int { return res.status }

// Outcome returns the outcome header.
func (res Result) Outcome() string { return res.outcome }

// Intact reports whether the whole response to this very request came back.
func (res Result) Intact() bool { return res.whole }

// Skipped reports that the request was not sent, as too many were under way.
func (res Result) Skipped() bool { return res.skipped }

// Latency returns the time from when the request was due to its end.
func (res Result) Latency() time.Duration { return res.latency }

// Err returns why there was no response or an incomplete one.
func (res Result) Err() error { return res.err }

// Violation is one broken promise to a caller.
type Violation struct {
	invariant string
	id        string
	text      string
}

// Invariant returns the id of the invariant in section 1.2 of the design page.
func (vio Violation) Invariant() string { return vio.invariant }

// String describes the violation.
func (vio Violation) String() string { return vio.invariant + ": request " + vio.id + ": " + vio.text }

// Verify checks results against what the backend servers ran: runs counts how
// often each request was run, summed over all of them.
func Verify(results []Result, runs map[string]int) []Violation {
	var out []Violation
	for _, res := range results {
		fail := func(bad bool, invariant, text string) {
			if bad {
				out = append(out, Violation{invariant: invariant, id: res.id, text: text})
			}
		}
		num := runs[res.id]
		done := res.status == http.StatusOK && res.err == nil
		fail(done && !res.whole, "P5", "the response is complete and not that of the request")
		fail(done && num == 0, "P5", "answered without having run")
		fail(res.status != 0 && res.outcome != "answered" && res.outcome != "notRun" && res.outcome != "unknown",
			"P6", "outcome "+strconv.Quote(res.outcome))
		fail(res.outcome == "notRun" && num > 0, "P6", "told notRun and ran "+strconv.Itoa(num)+" times")
		fail(res.skipped && num > 0, "P6", "ran and was not sent")
		fail(res.request.NonIdempotent && num > 1, "P7", "ran "+strconv.Itoa(num)+" times")
	}
	return append(out, verifyKeys(results, runs)...)
}

// verifyKeys checks that requests with the same idempotency key ran once.
func verifyKeys(results []Result, runs map[string]int) []Violation {
	var out []Violation
	first := map[string]string{}
	for _, res := range results {
		key := res.request.Key
		if key == "" || runs[res.id] == 0 {
			continue
		}
		if other, ok := first[key]; ok {
			out = append(out, Violation{invariant: "P7", id: res.id, text: "ran with the key of " + other})
		}
		first[key] = res.id
		if runs[res.id] > 1 {
			out = append(out, Violation{invariant: "P7", id: res.id, text: "ran " + strconv.Itoa(runs[res.id]) + " times with a key"})
		}
	}
	return out
}
