// Package meter counts what a VM does and how long it takes, at /debug/vars.
// Its names carry their units.
package meter

import (
	"expvar"
	"strconv"
	"time"
)

// bounds are the upper bounds of the buckets of a histogram.
var bounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// last names the bucket above all bounds.
const last = "moreMs"

// Histogram counts durations in buckets named by their upper bounds, such as
// upTo5Ms. It may be used by several goroutines.
type Histogram struct{ buckets *expvar.Map }

// NewHistogram publishes a histogram.
func NewHistogram(name string) Histogram { return Histogram{buckets: expvar.NewMap(name)} }

// Add counts a duration.
func (his Histogram) Add(dur time.Duration) { his.buckets.Add(bucket(dur), 1) }

// Count returns the number of durations in the bucket that dur falls in.
func (his Histogram) Count(dur time.Duration) int64 {
	if val, ok := his.buckets.Get(bucket(dur)).(*expvar.Int); ok {
		return val.Value()
	}
	return 0
}

func bucket(dur time.Duration) string {
	for _, bound := range bounds {
		if dur <= bound {
			return "upTo" + strconv.FormatInt(bound.Milliseconds(), 10) + "Ms"
		}
	}
	return last
}

// Counters counts events by name.
type Counters struct{ counts *expvar.Map }

// NewCounters publishes counters under a common name.
func NewCounters(name string) Counters { return Counters{counts: expvar.NewMap(name)} }

// Add counts one event.
func (cos Counters) Add(name string) { cos.counts.Add(name, 1) }
