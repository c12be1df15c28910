package cell

import (
	"strconv"
	"testing"
	"time"

	"guavarail/core/flow"
	"guavarail/core/model"
)

// Guards against a memory of dropped jobs that grows without a bound or forgets the newest.
func TestDroppedJobsAreBounded(t *testing.T) {
	var dro droppedJobs
	jobAt := func(num int) model.JobID { return model.JobID(strconv.Itoa(num)) }
	const jobs = maxDroppedJobs + 10
	for num := range jobs {
		dro.apply(model.Instant(num), flow.Forget(jobAt(num)), flow.Accepted)
	}
	dro.apply(0, flow.Forget("stale"), flow.Stale)
	dro.apply(0, flow.Cancel("cancelled"), flow.Accepted)
	if len(dro.droppedAt) != maxDroppedJobs || len(dro.order) != maxDroppedJobs {
		t.Errorf("%d jobs and %d in order, want %d", len(dro.droppedAt), len(dro.order), maxDroppedJobs)
	}
	for num, want := range map[int]bool{0: false, 9: false, 10: true, jobs - 1: true} {
		age, ok := dro.age(jobs, jobAt(num))
		if ok != want || ok && age != time.Duration(jobs-num) {
			t.Errorf("job %d: remembered %v for %v, want %v", num, ok, age, want)
		}
	}
}
