package replay

import (
	"context"
	"os"
	"strings"

	"github.com/juju/errors"

	"guavarail/core/place"
	"guavarail/core/trace"
	"guavarail/io/cmd/shell"
)

// Options are the arguments of the command.
type Options struct {
	// File is the trace in JSON Lines.
	File string `arg:"positional,required" placeholder:"FILE" help:"trace in JSON Lines"`
	// Compare also runs the trace without guards and with static separation.
	Compare bool `arg:"--compare" help:"also run without guards and with static separation"`
	shell.Output
}

// OutcomeError reports an outcome that differs from what the trace expects.
type OutcomeError struct {
	name        string
	differences []string
}

// Differences returns a copy of the differences, one text each.
func (err *OutcomeError) Differences() []string { return append([]string(nil), err.differences...) }

// Error lists the differences.
func (err *OutcomeError) Error() string {
	return err.name + ": outcome differs: " + strings.Join(err.differences, "; ")
}

// Advice returns what the operator should do next.
func (*OutcomeError) Advice() string {
	return "correct the expect line if the trace is wrong; otherwise the scheduler has a fault"
}

// New returns the command.
func New() shell.Command {
	return shell.New("replay", "Run a recorded trace against the scheduler and check its outcome.",
		"guavarail replay io/cmd/replay/testdata/vmLoss.jsonl --compare", Run)
}

// Run replays the trace and prints one row for each policy. If the outcome differs
// from the expected one, it returns an OutcomeError after it has printed the rows.
func Run(_ context.Context, env shell.Env, opt Options) error {
	fil, err := os.Open(opt.File)
	if err != nil {
		return shell.NewFileError(opt.File, err)
	}
	defer fil.Close() //nolint:errcheck // only read
	tra, err := Decode(opt.File, fil)
	if err != nil {
		return errors.Trace(err)
	}
	out := trace.Run(tra, place.BestFit{})
	rep := Report{Trace: opt.File, Rows: []Row{newRow("guard", out)}, Differences: tra.Expected().Differences(out)}
	if opt.Compare {
		rows, err := runBaselines(tra)
		if err != nil {
			return errors.Trace(err)
		}
		rep.Rows = append(rep.Rows, rows...)
	}
	if err := env.Show(opt.Output, rep, rep.table()); err != nil {
		return errors.Trace(err)
	}
	if len(rep.Differences) > 0 {
		return errors.Trace(&OutcomeError{name: opt.File, differences: rep.Differences})
	}
	return nil
}

// runBaselines replays the trace without guards, once with the scheduler's own
// placement and once with static separation of services and batch work.
func runBaselines(tra trace.Trace) ([]Row, error) {
	noGuards, err := tra.WithoutGuards()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return []Row{
		newRow("noPolicy", trace.Run(noGuards, place.BestFit{})),
		newRow("staticSeparation", trace.Run(noGuards, place.Static{})),
	}, nil
}
