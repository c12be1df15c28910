package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaims measures the heap usage per settled claim and in total, and the
// time to claim and settle one more key.
func BenchmarkClaims(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	}
	for _, keys := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heap()
			cl := &Claims{}
			claim := func(num int) {
				key, owner := fmt.Sprintf("%032d", num), fmt.Sprintf("vm-1/%08d", num)
				cl.Apply(NewClaim(key, owner, time.Duration(num), time.Minute))
				cl.Apply(NewSettle(key, owner, Answered, time.Duration(num)))
			}
			for num := range keys {
				claim(num)
			}
			size := heap() - before
			if cl.Len() != keys {
				b.Fatalf("%d claims, want %d", cl.Len(), keys)
			}
			num := keys
			for b.Loop() {
				claim(num)
				num++
			}
			b.ReportMetric(size/float64(keys), "B/key")
			b.ReportMetric(size/1e6, "MB")
		})
	}
}
