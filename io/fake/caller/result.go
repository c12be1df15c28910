package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Result is the result of one request.
type Result struct {
	// num is the number of the request, which is its index in the results.
	num     int
	id      string
	request Request
	due     time.Time
	// status and outcome are zero when there was no response.
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

// Outcome returns the value of the outcome header: answered, notRun (the request
// was certainly not run) or unknown (it may have run). It is empty when there was
// no response or the response had no such header.
func (res Result) Outcome() string { return res.outcome }

// Intact reports whether the complete response to this request, and no other,
// was received.
func (res Result) Intact() bool { return res.intact }

// Skipped reports whether the request was not sent because Config.MaxInFlight
// requests were in flight. A skipped request has no status, outcome, latency or
// error.
func (res Result) Skipped() bool { return res.skipped }

// Latency returns the time from the scheduled time of the request to its end; 0
// if it was skipped.
func (res Result) Latency() time.Duration { return res.latency }

// Err returns why the response is missing or incomplete; nil if it is complete or
// the request was skipped.
func (res Result) Err() error { return res.err }

// Violation is one violation of an invariant that callers rely on.
type Violation struct {
	invariant string
	id        string
	text      string
}

// Invariant returns the id of the invariant: P5, P6 or P7, as listed at Verify.
func (vio Violation) Invariant() string { return vio.invariant }

// String describes the violation.
func (vio Violation) String() string { return vio.invariant + ": request " + vio.id + ": " + vio.text }

// Verify checks results against the requests that the backend servers ran. runs
// counts the runs of each request by its id, summed over all backend servers.
// These invariants are checked:
//
//   - P5: a caller gets the complete response to its own request and no other.
//   - P6: each response has an outcome, and a request with the outcome notRun has
//     not run.
//   - P7: a request that is not idempotent or has an idempotency key runs at most
//     once, and of the requests with the same key at most one runs.
func Verify(results []Result, runs map[string]int) []Violation {
	var out []Violation
	for _, res := range results {
		addIf := func(violated bool, invariant, text string) {
			if violated {
				out = append(out, Violation{invariant: invariant, id: res.id, text: text})
			}
		}
		num := runs[res.id]
		complete := res.status == http.StatusOK && res.err == nil
		addIf(complete && !res.intact, "P5", "the response is complete and not that of the request")
		addIf(complete && num == 0, "P5", "answered without having run")
		addIf(res.status != 0 && res.outcome != "answered" && res.outcome != "notRun" && res.outcome != "unknown",
			"P6", "outcome "+strconv.Quote(res.outcome))
		addIf(res.outcome == "notRun" && num > 0, "P6", "told notRun and ran "+strconv.Itoa(num)+" times")
		addIf(res.skipped && num > 0, "P6", "ran and was not sent")
		addIf(res.request.NonIdempotent && num > 1, "P7", "ran "+strconv.Itoa(num)+" times")
	}
	return append(out, verifyKeys(results, runs)...)
}

// verifyKeys checks that, of the requests with the same idempotency key, at most
// one ran, and at most once.
func verifyKeys(results []Result, runs map[string]int) []Violation {
	var out []Violation
	// ranBy maps each key to the id of the last request that ran with it.
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
