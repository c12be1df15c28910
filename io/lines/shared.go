package lines

import (
	"sync"

	"guavarail/core/model"
)

// SharedLimiter is a Limiter that several goroutines use. The zero value is ready for use.
type SharedLimiter struct {
	// mu guards lim.
	mu  sync.Mutex
	lim Limiter
}

// Allow is Limiter.Allow.
func (sha *SharedLimiter) Allow(now model.Instant) (suppressed int, ok bool) {
	sha.mu.Lock()
	defer sha.mu.Unlock()
	return sha.lim.Allow(now)
}
