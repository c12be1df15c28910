package busy

import (
	"syscall"
	"time"
)

// ProcessTime returns the processor time that the process has used.
func ProcessTime() time.Duration {
	var use syscall.Rusage
	// Getrusage fails only for arguments that it does not know.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
