package lines

import (
	"time"

	"guavarail/core/model"
)

const (
	// limiterWindow and maxWindowLines bound the lines that a Limiter permits.
	limiterWindow  = time.Second
	maxWindowLines = 20
)

// Limiter bounds the lines of one kind to maxWindowLines in each limiterWindow. The zero
// value is ready for use. It is owned by one goroutine.
type Limiter struct {
	windowStart model.Instant
	// permitted is the number of lines permitted since windowStart, and suppressed that of
	// lines that were not permitted since the last permitted one.
	permitted, suppressed int
}

// Allow reports whether a line may be written now, and how many were suppressed since the
// last one.
func (lim *Limiter) Allow(now model.Instant) (suppressed int, ok bool) {
	if now.Sub(lim.windowStart) >= limiterWindow {
		lim.windowStart, lim.permitted = now, 0
	}
	if lim.permitted == maxWindowLines {
		lim.suppressed++
		return 0, false
	}
	lim.permitted++
	suppressed, lim.suppressed = lim.suppressed, 0
	return suppressed, true
}
