package demo

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config describes one run.
type Config struct {
	// User names the recorded trace.
	User string
	Log  hclog.Logger
	// Progress receives a line about each step; it may be nil.
	Progress func(text string)
}

// Run plays the trace of a user and returns the outcomes. An OutcomeError says
// that they differ from the expected ones; the report is complete then.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	scr, err := load(cfg.User)
	if err != nil {
		return Report{}, err
	}
	sit, stop, err := newSite(scr, cfg.Log)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	pla, stopPlayer, err := newPlayer(sit, cfg.Progress)
	if err != nil {
		return Report{}, err
	}
	defer stopPlayer()
	if err := pla.play(ctx); err != nil {
		return Report{}, err
	}
	rep := pla.report()
	if failed := rep.failed(); len(failed) > 0 {
		return rep, &OutcomeError{failed: failed}
	}
	return rep, nil
}

// seconds converts a duration for the report.
func seconds(dur time.Duration) float64 { return dur.Seconds() }
