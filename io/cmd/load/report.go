package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The outcomes of requests. Answered, unknown and "notRun", which has no constant, are
// those in the header Guavarail-Outcome, which the entry VM sets, the VM that
// accepts the caller's request. A response without the header counts as answered, or
// as unknown if its status is 500 or above. Error is a request that failed without a
// complete response, and unsent one whose deadline passed before a connection was
// free.
const (
	outcomeAnswered = "answered"
	outcomeUnknown  = "unknown"
	outcomeError    = "error"
	outcomeUnsent   = "unsent"
)

// tally counts requests by outcome and records their latencies.
type tally struct {
	counts map[string]int64
	// inTime counts the requests answered within the deadline with a status below
	// 500.
	inTime int64
	// latencies are those of the answered requests, in microseconds.
	latencies *hdrhistogram.Histogram
}

func newTally() *tally {
	// Latencies from 1 us to 2 minutes with 2 significant digits, an error below 1%.
	return &tally{counts: map[string]int64{}, latencies: hdrhistogram.New(1, 120_000_000, 2)}
}

// add counts one request. took is the time since its intended send time.
func (ta *tally) add(outcome string, took time.Duration, inTime bool) {
	ta.counts[outcome]++
	if outcome == outcomeAnswered {
		_ = ta.latencies.RecordValue(min(max(took.Microseconds(), 1), 120_000_000))
	}
	if inTime {
		ta.inTime++
	}
}

func (ta *tally) merge(other *tally) {
	for outcome, num := range other.counts {
		ta.counts[outcome] += num
	}
	ta.inTime += other.inTime
	ta.latencies.Merge(other.latencies)
}

// Report is the result of one run. Latencies are those of answered requests, in
// milliseconds, counted from the intended send time. Rate, Throughput and Goodput
// are in requests a second; a Rate of 0 has no limit. Seconds is the length of the
// run, including the wait for the last responses.
type Report struct {
	Connections int              `json:"connections"`
	Rate        float64          `json:"rate"`
	Seed        uint64           `json:"seed"`
	Seconds     float64          `json:"seconds"`
	Requests    int64            `json:"requests"`
	Outcomes    map[string]int64 `json:"outcomes"`
	Throughput  float64          `json:"answeredPerSecond"`
	Goodput     float64          `json:"goodputPerSecond"`
	P50         float64          `json:"p50Ms"`
	P90         float64          `json:"p90Ms"`
	P99         float64          `json:"p99Ms"`
	P999        float64          `json:"p999Ms"`
	Max         float64          `json:"maxMs"`
}

func newReport(op Options, ta *tally, took time.Duration) Report {
	rep := Report{
		Connections: op.Connections, Rate: op.Rate, Seed: op.Seed, Seconds: took.Seconds(), Outcomes: ta.counts,
		// Both rates are per second of op.Duration and include the responses that
		// arrive after it.
		Throughput: float64(ta.counts[outcomeAnswered]) / op.Duration.Seconds(),
		Goodput:    float64(ta.inTime) / op.Duration.Seconds(),
	}
	for _, num := range ta.counts {
		rep.Requests += num
	}
	milli := func(quantile float64) float64 { return float64(ta.latencies.ValueAtQuantile(quantile)) / 1000 }
	rep.P50, rep.P90, rep.P99, rep.P999 = milli(50), milli(90), milli(99), milli(99.9)
	rep.Max = float64(ta.latencies.Max()) / 1000
	return rep
}

// Lines returns the report as lines of text.
func (rep Report) Lines() []string {
	return []string{
		fmt.Sprintf("requests     %d in %.1f s on %d connections, seed %d", rep.Requests, rep.Seconds, rep.Connections, rep.Seed),
		fmt.Sprintf("outcomes     %d answered, %d not run, %d unknown, %d errors, %d unsent",
			rep.Outcomes[outcomeAnswered], rep.Outcomes["notRun"], rep.Outcomes[outcomeUnknown],
			rep.Outcomes[outcomeError], rep.Outcomes[outcomeUnsent]),
		fmt.Sprintf("throughput   %.0f/s answered, %.0f/s within the deadline", rep.Throughput, rep.Goodput),
		fmt.Sprintf("latency ms   p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f", rep.P50, rep.P90, rep.P99, rep.P999, rep.Max),
	}
}
