package shed

import (
	"math"
	"time"

	"guavarail/core/model"
)

// MinRetry and MaxRetry bound the time after which a refused caller returns. Callers
// return a few times only, so later than MaxRetry is as good as never.
const (
	MinRetry = time.Second
	MaxRetry = 30 * time.Second
)

// returns spreads the times at which refused callers with an equal right return. The zero
// value is ready to use.
type returns struct {
	// until is when what the callers bring that were told to return is expected to have
	// been done.
	until model.Instant
	// overflow counts the callers for whom there was no place within MaxRetry.
	overflow int
}

// book books a place for a caller: after wait at the earliest, and after those before it.
// work is what it brings, and rate what the cell does in a second, both in processor
// seconds.
func (re *returns) book(now model.Instant, wait, work, rate float64) time.Duration {
	at := max(re.until, now.Add(duration(wait)))
	after := at.Sub(now)
	if after > MaxRetry {
		// They are spread over the last half of the time.
		re.overflow = (re.overflow + 1) % int(MaxRetry/time.Second/2)
		return MaxRetry - time.Duration(re.overflow)*time.Second
	}
	re.until = at.Add(duration(work / max(rate, 0.001)))
	return min(max(MinRetry, time.Duration(math.Ceil(after.Seconds()))*time.Second), MaxRetry)
}

// duration returns a number of seconds as a duration.
func duration(sec float64) time.Duration {
	return time.Duration(min(sec, 1e6) * float64(time.Second))
}
