package replay

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"guavarail/core/place"
	"guavarail/core/trace"
)

// Options are the arguments of the command.
type Options struct {
	// File is the trace in JSON Lines.
	File string `arg:"positional,required" placeholder:"FILE" help:"trace in JSON Lines"`
	// Compare also runs the trace without guards and with static separation.
	Compare bool `arg:"--compare" help:"also run without guards and with static separation"`
}

// Deps are what the command needs from outside.
type Deps struct {
	// Open opens the trace.
	Open func(name string) (io.ReadCloser, error)
	// Out receives the table.
	Out io.Writer
}

// OutcomeError reports an outcome that differs from what the trace expects.
type OutcomeError struct {
	name        string
	differences []string
}

// Differences returns what differs.
func (err *OutcomeError) Differences() []string { return append([]string(nil), err.differences...) }

// Error lists the differences.
func (err *OutcomeError) Error() string {
	return err.name + ": outcome differs: " + strings.Join(err.differences, "; ")
}

// Run replays the trace and prints one row for each policy, tab-separated.
func Run(opt Options, dep Deps) error {
	fil, err := dep.Open(opt.File)
	if err != nil {
		return errors.Annotate(err, "open trace")
	}
	defer fil.Close() //nolint:errcheck // only read
	tra, err := Decode(opt.File, fil)
	if err != nil {
		return errors.Trace(err)
	}
	out := trace.Run(tra, place.BestFit{})
	if err := row(dep.Out, "policy", "finished", "failed", "cancelled", "open", "attempts", "evictions", "tailP99Ms", "overTarget", "readings", "batchWorkS", "lastEndS"); err != nil {
		return errors.Trace(err)
	}
	if err := outcomeRow(dep.Out, "guard", out); err != nil {
		return errors.Trace(err)
	}
	if opt.Compare {
		if err := compare(dep.Out, tra); err != nil {
			return errors.Trace(err)
		}
	}
	if diffs := tra.Expect().Differences(out); len(diffs) > 0 {
		return errors.Trace(&OutcomeError{name: opt.File, differences: diffs})
	}
	return nil
}

// compare runs the baselines on the same input.
func compare(out io.Writer, tra trace.Trace) error {
	bare, err := tra.WithoutGuards()
	if err != nil {
		return errors.Trace(err)
	}
	if err := outcomeRow(out, "noPolicy", trace.Run(bare, place.BestFit{})); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(outcomeRow(out, "staticSeparation", trace.Run(bare, place.Static{})))
}

func outcomeRow(out io.Writer, policy string, ou trace.Outcome) error {
	over, readings := ou.OverTarget()
	return row(out, policy, ou.Finished(), ou.Failed(), ou.Cancelled(), ou.Open(), ou.Attempts(), ou.Evictions(),
		ou.Tail().Milliseconds(), over, readings, int(ou.Work().Seconds()), int(ou.Last().Seconds()))
}

func row(out io.Writer, cells ...any) error {
	text := make([]string, len(cells))
	for i, cell := range cells {
		text[i] = fmt.Sprint(cell)
	}
	_, err := fmt.Fprintln(out, strings.Join(text, "\t"))
	return errors.Trace(err)
}
