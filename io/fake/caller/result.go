package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Result is the result of one request.
type Result struct {
	// num is the position of the request in the results.
	num     int
	id      string
	request Request
	due     time.Time
	status  int
	outcome string
	// intact is true when the body is complete and belongs to this request's id.
	intact  bool
	skipped bool
	latency time.Duration
	err     error
}

// ID returns the id of the request.
func (res Result) ID() string { return res.id }

// Request returns the parameters of the request.
func (res Result) Request() Request { return res.request }

// Due returns the scheduled time of the request.
func (res Result) Due() time.Time { return res.due }

// Status returns the HTTP status; 0 when there was no response.
func (res Result) Status() int { return res.status }

// Outcome returns the value of the outcome header.
func (res Result) Outcome() string { return res.outcome }

// Intact reports whether the complete response to this request, and no other,
// was received.
func (res Result) Intact() bool { return res.intact }

// Skipped reports whether the request was not sent because too many were in
// flight.
func (res Result) Skipped() bool { return res.skipped }

// Latency returns the time from the scheduled time of the request to its end.
func (res Result) Latency() time.Duration { return res.latency }

// Err returns why the response is missing or incomplete.
func (res Result) Err() error { return res.err }

// Violation is one violation of an invariant that callers rely on.
type Violation struct {
	invariant string
	id        string
	text      string
}

// Invariant returns the id of the invariant in section 1.2 of the design page.
func (vio Violation) Invariant() string { return vio.invariant }

// String describes the violation.
func (vio Violation) String() string { return vio.invariant + ": request " + vio.id + ": " + vio.text }

// Verify checks results against the requests that the backend servers ran. runs
// counts the runs of each request by its id, summed over all backend servers.
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
		fail(done && !res.intact, "P5", "the response is complete and not that of the request")
		fail(done && num == 0, "P5", "answered without having run")
		fail(res.status != 0 && res.outcome != "answered" && res.outcome != "notRun" && res.outcome != "unknown",
			"P6", "outcome "+strconv.Quote(res.outcome))
		fail(res.outcome == "notRun" && num > 0, "P6", "told notRun and ran "+strconv.Itoa(num)+" times")
		fail(res.skipped && num > 0, "P6", "ran and was not sent")
		fail(res.request.NonIdempotent && num > 1, "P7", "ran "+strconv.Itoa(num)+" times")
	}
	return append(out, verifyKeys(results, runs)...)
}

// verifyKeys checks that, of the requests with the same idempotency key, at most
// one ran, and at most once.
func verifyKeys(results []Result, runs map[string]int) []Violation {
	var out []Violation
	ranBy := map[string]string{}
	for _, res := range results {
		key := res.request.Key
		if key == "" || runs[res.id] == 0 {
			continue
		}
		if other, ok := ranBy[key]; ok {
			out = append(out, Violation{invariant: "P7", id: res.id, text: "ran with the key of " + other})
		}
		ranBy[key] = res.id
		if runs[res.id] > 1 {
			out = append(out, Violation{invariant: "P7", id: res.id, text: "ran " + strconv.Itoa(runs[res.id]) + " times with a key"})
		}
	}
	return out
}
