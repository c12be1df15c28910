package busy

import (
	"context"
	"runtime"
	"strings"

	"guavarail/io/host"
)

const (
	// maxStacksBytes bounds the text of the stacks of all goroutines in a sample.
	maxStacksBytes = 1 << 20
	// maxFrames bounds the functions in a report.
	maxFrames = 8
)

// running is a goroutine that ran, or could have run, in most samples.
type running struct {
	// id is the number of the goroutine in a stack trace, or empty if none was seen.
	id string
	// samples is the number of samples in which it was seen.
	samples int
	// stack has the names of its innermost functions, innermost first.
	stack string
}

// findRunning takes stackSamples samples of the goroutines.
func findRunning(ctx context.Context) running {
	buf := make([]byte, maxStacksBytes)
	seen := map[string]running{}
	var most running
	for range stackSamples {
		host.Pause(ctx, stackInterval)
		text := string(buf[:runtime.Stack(buf, true)])
		for _, run := range parseRunning(text) {
			run.samples += seen[run.id].samples
			seen[run.id] = run
			if run.samples > most.samples {
				most = run
			}
		}
	}
	return most
}

// parseRunning returns the goroutines in a text of runtime.Stack that run or could run,
// without the first one, which is the caller.
func parseRunning(text string) []running {
	var out []running
	_, text, _ = strings.Cut(text, "\n\n")
	for _, block := range strings.Split(text, "\n\n") {
		head, frames, _ := strings.Cut(block, "\n")
		id, state, _ := strings.Cut(strings.TrimPrefix(head, "goroutine "), " [")
		if strings.HasPrefix(state, "runnable") || strings.HasPrefix(state, "running") {
			out = append(out, running{id: id, samples: 1, stack: functionNames(frames)})
		}
	}
	return out
}

// functionNames returns the names of the innermost functions in the frames of a stack.
// Frames have two lines; the second is indented and has the position in the source.
func functionNames(frames string) string {
	var names []string
	for line := range strings.Lines(frames) {
		if strings.HasPrefix(line, "\t") || len(names) == maxFrames {
			continue
		}
		if end := strings.LastIndexByte(line, '('); end >= 0 {
			line = line[:end]
		}
		names = append(names, strings.TrimSpace(line))
	}
	return strings.Join(names, " < ")
}
