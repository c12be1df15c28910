package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// BenchmarkAdmit measures the decision about a submitted job in a full cell with 20 runs a
// worker and 200 open jobs that end by themselves. 100 jobs are submitted a second, and
// the forecast that is made again for every 30 of them is included.
func BenchmarkAdmit(b *testing.B) {
	const openJobs = 200
	for _, workers := range []int{350, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			bc := newBenchCell(b, 1, workers)
			bc.pl.config.Admission = true
			bc.openJobs = 0
			for bc.now.Sub(bc.pl.admission.since) < admissionDelay {
				bc.advance()
			}
			bc.cancelOver(openJobs)
			steps := []StepSpec{
				{Tasks: 12, Size: model.NewResources(6000, 12_000, 0), Estimate: time.Second},
				{Tasks: 12, Size: model.NewResources(6000, 12_000, 0), Estimate: time.Second, After: []int{0}},
			}
			jobs := make([]Job, 1000)
			for i := range jobs {
				jo, err := NewJob(JobSpec{
					ID: model.JobID(fmt.Sprint("new", i)), Service: "svc", Priority: i % 3, Steps: steps, ObjectiveFactor: 2, ObjectiveBase: time.Second,
				})
				if err != nil {
					b.Fatal(err)
				}
				jobs[i] = jo
			}
			now := bc.now
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				bc.pl.Admit(now, jobs[n%len(jobs)], "c")
				now = now.Add(10 * time.Millisecond)
				bc.pl.leaseUntil = now.Add(time.Second)
			}
		})
	}
}

// cancelOver cancels open jobs that end by themselves until num are left.
func (bc *benchCell) cancelOver(num int) {
	for _, jb := range bc.pl.openJobs {
		switch {
		case jb.longRunning():
		case num > 0:
			num--
		default:
			bc.apply(Cancel(jb.ID()))
		}
	}
}
