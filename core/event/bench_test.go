package event

import (
	"fmt"
	"runtime"
	"testing"

	"guavarail/core/model"
)

// BenchmarkRing measures the heap of a full log and the time to append an event of
// the size that the scheduler records: three parts of the subject and two fields.
func BenchmarkRing(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	}
	for _, events := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			before := heap()
			lo := NewLog("vm-1", 1, events)
			for num := range events {
				lo.Step(0, benchAppend(num))
			}
			size := heap() - before
			num := events
			for b.Loop() {
				num++
				lo.Step(0, benchAppend(num))
			}
			b.ReportMetric(size/float64(events), "B/event")
			b.ReportMetric(size/1e6, "MB")
		})
	}
}

func benchAppend(num int) Append {
	return Append{Stamp: Stamp(num + 2), Event: New("taskStarted", Subject{
		Job: model.JobID(fmt.Sprintf("job-%07d", num)), Task: fmt.Sprintf("job-%07d/%d", num, num%1000),
		Worker: model.WorkerID(fmt.Sprintf("worker-%05d", num%17000)),
	}, NewField("attempt", "1"), NewField("team", fmt.Sprintf("team-%03d", num%450)))}
}
