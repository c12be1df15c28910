package shed

import (
	"maps"
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

const (
	// callerReturns is how often a caller submits a refused job again.
	callerReturns = 4
	// maxRefused is the number of refused jobs that are remembered, and refusedRetention
	// how long at most. A caller that was told the longest time returns before that.
	maxRefused       = 4096
	refusedRetention = 2 * MaxRetry
)

// returns spreads the times at which the refused callers of a turnKey return. The zero value
// is ready to use.
type returns struct {
	// until is when the work of the callers that were told to return is expected to be
	// done.
	until model.Instant
	// overflow counts the callers for whom there was no place within MaxRetry.
	overflow int
}

// book books a place for a caller: after wait, in seconds, at the earliest, and after those
// before it. work is what it brings, and rate what the cell does in a second, both in
// processor seconds.
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

// refusals remembers the jobs that were refused and not accepted since. The zero value has
// none.
type refusals struct{ jobs map[model.JobID]refusal }

// refusal is how often a job was refused, and when it was last.
type refusal struct {
	num int
	at  model.Instant
}

// add records a refusal and returns how often the job has been refused.
func (re *refusals) add(now model.Instant, id model.JobID) int {
	if len(re.jobs) >= maxRefused {
		maps.DeleteFunc(re.jobs, func(_ model.JobID, ref refusal) bool { return now.Sub(ref.at) > refusedRetention })
	}
	if re.jobs == nil || len(re.jobs) >= maxRefused {
		re.jobs = map[model.JobID]refusal{}
	}
	ref := refusal{num: re.jobs[id].num + 1, at: now}
	re.jobs[id] = ref
	return ref.num
}

// lastReturn reports whether the caller of a job is not expected to submit it again.
func (re *refusals) lastReturn(id model.JobID) bool { return re.jobs[id].num >= callerReturns }

// remove removes a job that was accepted.
func (re *refusals) remove(id model.JobID) { delete(re.jobs, id) }

// backOff returns the least time after which a job returns that was refused a number of
// times: each refusal doubles it, since the forecast before was too early and knows
// nothing of how long the load will last.
func backOff(num int) time.Duration { return min(MaxRetry, MinRetry<<min(num-1, 8)) }
