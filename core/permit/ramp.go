package permit

import "time"

const rampFull = 100

// rampStep is one step of the return of a data centre.
type rampStep struct {
	from    time.Duration
	percent int
}

// rampSteps lets caches and connections warm up before the full load returns.
var rampSteps = []rampStep{
	{6 * time.Second, 50},
	{3 * time.Second, 25},
	{0, 10},
}

// rampLength is when the full load is admitted.
const rampLength = 8 * time.Second

// Ramp returns the percentage of starts and requests that a data centre admits
// once it has been back in service for the given time.
func Ramp(back time.Duration) int {
	if back >= rampLength {
		return rampFull
	}
	for _, ras := range rampSteps {
		if back >= ras.from {
			return ras.percent
		}
	}
	return 0
}
