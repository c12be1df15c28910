package admit

import (
	"time"

	"guavarail/core/model"
)

const (
	// lateAge is the age of the oldest input from which an owner counts as behind.
	lateAge = 500 * time.Millisecond
	// caughtUpAge is the age below which it must stay for caughtUpTime to count as no
	// longer behind.
	caughtUpAge  = 100 * time.Millisecond
	caughtUpTime = time.Second
)

// Watch tells when an owner falls behind its inputs and when it has caught up. The zero
// value is an owner that is not behind.
type Watch struct {
	behind bool
	// since is when the owner fell behind, and worst the highest age since then.
	since model.Instant
	worst time.Duration
	// lateAt is when the age was last caughtUpAge or more.
	lateAt model.Instant
}

// Observe notes the age of the oldest input. It returns true if the owner has just
// fallen behind or caught up.
func (wa *Watch) Observe(now model.Instant, age time.Duration) bool {
	if age >= caughtUpAge {
		wa.lateAt = now
	}
	switch {
	case !wa.behind && age >= lateAge:
		wa.behind, wa.since, wa.worst = true, now, age
		return true
	case wa.behind && now.Sub(wa.lateAt) >= caughtUpTime:
		wa.behind = false
		return true
	}
	wa.worst = max(wa.worst, age)
	return false
}

// Behind reports whether the owner is behind.
func (wa *Watch) Behind() bool { return wa.behind }

// Since returns when the owner last fell behind.
func (wa *Watch) Since() model.Instant { return wa.since }

// Worst returns the highest age since the owner last fell behind.
func (wa *Watch) Worst() time.Duration { return wa.worst }
