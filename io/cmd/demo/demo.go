// Package demo is the command "demo".
package demo

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/io/cmd/shell"
	"guavarail/io/demo"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	User string `arg:"positional" help:"user whose trace is replayed: virunga or ozolkalns [default: both]"`
	Log  bool   `arg:"--log" help:"show the log of the VMs"`
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("demo", "Run three data centres in this process on recorded input and check the outcomes.",
		"guavarail demo virunga", Run)
}

// Run replays the traces of all users, or of the given one, and prints their
// outcomes. If outcomes differ from the expected ones, it returns an OutcomeError
// after it has printed them.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	users := demo.Users()
	if opt.User != "" {
		users = []string{opt.User}
	}
	log := hclog.NewNullLogger()
	if opt.Log {
		log = hclog.New(&hclog.LoggerOptions{Name: "demo", Output: env.Streams.Err()})
	}
	var reps []demo.Report
	var failed error
	for _, user := range users {
		rep, err := demo.Run(ctx, demo.Config{User: user, Log: log, Progress: func(text string) { _ = env.Streams.ErrLines(text) }})
		var ouc *demo.OutcomeError
		if err != nil && !errors.As(err, &ouc) {
			return err
		}
		if err != nil {
			failed = err
		}
		reps = append(reps, rep)
	}
	if err := env.Show(opt.Output, reps, table(reps)); err != nil {
		return err
	}
	return failed
}

// table returns a table with one row for each outcome.
func table(reps []demo.Report) *term.Table {
	ta := term.NewTable("user", "outcome", "value", "expected", "result")
	for _, rep := range reps {
		for _, row := range rep.Rows {
			result := "ok"
			if !row.OK {
				result = "FAILED"
			}
			ta.Add(rep.User, row.Name, row.Value, row.Want, result)
		}
	}
	return ta
}
