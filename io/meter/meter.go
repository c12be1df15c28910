// Package meter publishes counters and histograms at /debug/vars. The names of
// metrics and buckets contain their units.
package meter

import (
	"expvar"
	"strconv"
	"time"
)

// bucketBounds are the inclusive upper bounds of a histogram's buckets, ascending.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// overflowBucket is the name of the bucket for durations above all bounds.
const overflowBucket = "moreMs"

// Histogram counts durations in buckets that are named by their upper bounds, such as
// upTo5Ms. It is safe for concurrent use.
type Histogram struct{ buckets *expvar.Map }

// NewHistogram publishes a histogram. It panics if the name is already published.
func NewHistogram(name string) Histogram { return Histogram{buckets: expvar.NewMap(name)} }

// Add counts a duration in its bucket.
func (his Histogram) Add(dur time.Duration) { his.buckets.Add(bucketName(dur), 1) }

// Count returns the number of durations in the bucket that dur falls in.
func (his Histogram) Count(dur time.Duration) int64 {
	if val, ok := his.buckets.Get(bucketName(dur)).(*expvar.Int); ok {
		return val.Value()
	}
	return 0
}

// bucketName returns the name of the bucket that dur falls in.
func bucketName(dur time.Duration) string {
	for _, bound := range bucketBounds {
		if dur <= bound {
			return "upTo" + strconv.FormatInt(bound.Milliseconds(), 10) + "Ms"
		}
	}
	return overflowBucket
}

// Counters counts occurrences by name. It is safe for concurrent use.
type Counters struct{ counts *expvar.Map }

// NewCounters publishes a map of counters under a name. It panics if the name is
// already published.
func NewCounters(name string) Counters { return Counters{counts: expvar.NewMap(name)} }

// Sum returns the sum of all counters.
func (cos Counters) Sum() int64 {
	var sum int64
	cos.counts.Do(func(val expvar.KeyValue) {
		if num, ok := val.Value.(*expvar.Int); ok {
			sum += num.Value()
		}
	})
	return sum
}

// Add adds 1 to the counter with the given name.
func (cos Counters) Add(name string) { cos.counts.Add(name, 1) }
