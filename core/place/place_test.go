package place

import (
	"testing"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// Guards against a worker that has room and is not found, and against a choice
// that does not fit: after any changes the index agrees with a linear scan.
func TestIndexAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ix Index
		// draw draws up to maxCPUs CPUs, with up to 4000 MB for each.
		draw := func(name string, maxCPUs int64) model.Resources {
			return model.NewResources(
				rapid.Int64Range(0, maxCPUs*1000).Draw(t, name+"Cpu"), rapid.Int64Range(0, maxCPUs*4000).Draw(t, name+"Memory"),
				rapid.Int64Range(0, 9).Draw(t, name+"Accelerators"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			idx := int32(rapid.IntRange(0, 12).Draw(t, "slot"))
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				ix.Remove(idx)
			case 1:
				ix.Reserve(idx, draw("reserve", 4))
			default:
				ix.Set(idx, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "rack"), draw("free", 40))
			}
			rq := NewRequest(draw("need", 40), model.Batch)
			if rapid.Bool().Draw(t, "spread") {
				rq = rq.Spread(&Racks{})
			}
			forbidOdd := rapid.Bool().Draw(t, "odd")
			rq = rq.Forbid(func(idx int32) bool { return forbidOdd && idx%2 == 1 })
			got, ok := BestFit{}.Choose(&ix, rq)
			_, want := LinearScan{}.Choose(&ix, rq)
			if ok != want || ok && (!ix.Fits(got, rq.Need()) || forbidOdd && got%2 == 1) {
				t.Fatalf("worker %d, %v, the scan finds one: %v", got, ok, want)
			}
		}
	})
}
