package busy

import (
	"bytes"
	"context"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
)

// spinUntil polls until the flag is set.
func spinUntil(flag *atomic.Bool, ended chan<- struct{}) {
	turns := 0
	for !flag.Load() {
		turns++
	}
	close(ended)
}

// newTestWatch returns a watch of a process that does no work, and its log.
func newTestWatch() (*watch, *bytes.Buffer) {
	var buf bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &buf})
	return newWatch(Config{Work: func() int64 { return 0 }, Log: log}), &buf
}

// Guards against a goroutine that holds the processor without a line that names it, and
// against a line for each sample.
func TestHeldProcessorIsLoggedOnce(t *testing.T) {
	for _, procs := range []int{1, runtime.NumCPU()} {
		t.Run(strconv.Itoa(procs), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
			reports, held := heldReports.Value(), heldTime.Value()
			wat, buf := newTestWatch()
			var flag atomic.Bool
			ended := make(chan struct{})
			go spinUntil(&flag, ended)
			// A sample takes until the process has used enough, so that no result depends
			// on the load of the machine.
			for range 8 {
				for ProcessTime()-wat.used < sampleInterval/4 {
					time.Sleep(time.Millisecond)
				}
				wat.at = wat.clock() - model.Instant(sampleInterval)
				wat.sample(context.Background())
			}
			flag.Store(true)
			<-ended
			if got := buf.String(); strings.Count(got, "processor held") != 1 || !strings.Contains(got, "spinUntil") {
				t.Errorf("log %q, want one line that names spinUntil", got)
			}
			if heldReports.Value() != reports+1 || heldTime.Value() == held {
				t.Errorf("%d reports and %d ms more", heldReports.Value()-reports, heldTime.Value()-held)
			}
		})
	}
}

// Guards against a long line: the report of any goroutine has at most maxFrames names.
func TestReportIsBounded(t *testing.T) {
	deep := "goroutine 1 [running]:\nmain.main()\n\t/a.go:1\n\ngoroutine 7 [runnable]:\n" + strings.Repeat("pkg.(*T).f(0x1, {0x2, 0x3})\n\t/a.go:1 +0x1\n", 50)
	got := parseRunning(deep)
	if len(got) != 1 || got[0].id != "7" || got[0].stack != strings.Repeat("pkg.(*T).f < ", maxFrames-1)+"pkg.(*T).f" {
		t.Errorf("got %+v", got)
	}
}

// BenchmarkSample measures a sample, of which one is taken each second.
func BenchmarkSample(b *testing.B) {
	wat, _ := newTestWatch()
	for b.Loop() {
		wat.sample(context.Background())
	}
}
