package permit

import "time"

// fullPercent admits all starts and requests.
const fullPercent = 100

// rampStep is the percentage of starts and requests that a data centre admits from a
// given time after its return to service until the next step.
type rampStep struct {
	after   time.Duration
	percent int
}

// rampSteps holds the steps, latest first. They increase the load gradually, so that
// caches and connections warm up before the full load returns.
var rampSteps = []rampStep{
	{6 * time.Second, 50},
	{3 * time.Second, 25},
	{0, 10},
}

// rampDuration is the time from the return to service until the full load is
// admitted.
const rampDuration = 8 * time.Second

// RampPercent returns the percentage of starts and requests that a data centre
// admits after it has been back in service for the given time.
func RampPercent(elapsed time.Duration) int {
	if elapsed >= rampDuration {
		return fullPercent
	}
	for _, ras := range rampSteps {
		if elapsed >= ras.after {
			return ras.percent
		}
	}
	return 0
}
