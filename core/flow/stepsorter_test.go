package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// TestStepSorterIsAStableSort guards against steps that are lost, left over from
// the sort before, or out of order.
func TestStepSorterIsAStableSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	jobs := []*job{{Job: Job{spec: JobSpec{Priority: 0}}}, {Job: Job{spec: JobSpec{Priority: 1}}}}
	specs := []*StepSpec{{}, {LongRunning: true}}
	var so stepSorter
	for range 200 {
		so.collected = so.collected[:0]
		for i := range rng.IntN(60) {
			so.collected = append(so.collected, readyStep{
				job: jobs[rng.IntN(2)], spec: specs[rng.IntN(2)], step: i, restart: rng.IntN(3) == 0, overdue: rng.IntN(20) == 0,
				slack: time.Duration(rng.IntN(3) - 1), rank: float64(rng.IntN(4)), waitingSince: model.Instant(rng.IntN(4)),
			})
		}
		want := slices.Clone(so.collected)
		slices.SortStableFunc(want, func(a, b readyStep) int { return compareSteps(&a, &b) })
		if got := so.sort(); !slices.Equal(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}
