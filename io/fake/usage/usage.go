// Package usage measures the processor time that a test uses.
package usage

import (
	"runtime"
	"runtime/debug"
	"time"

	"guavarail/io/busy"
)

// Of returns the processor time that the process uses while fn runs. No garbage is
// collected meanwhile, because the collection of what other tests have left takes more
// time than what is measured.
func Of(fn func()) time.Duration {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.GC()
	before := busy.ProcessTime()
	fn()
	return busy.ProcessTime() - before
}
