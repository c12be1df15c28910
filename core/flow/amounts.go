package flow

import (
	"time"

	"guavarail/core/model"
)

// ValidAmounts reports whether no dimension is negative or beyond the limits for amounts.
func ValidAmounts(size model.Resources) bool { return validSize(size) }

// AmountsAllowed describes the amounts for which ValidAmounts holds, for errors.
const AmountsAllowed = "amounts from 0 to " + sizeLimits

// ValidSpan reports whether a duration is within the limits.
func ValidSpan(dur time.Duration) bool { return validSpan(dur) }

// SpanAllowed describes the durations for which ValidSpan holds, for errors.
const SpanAllowed = spanAllowed
