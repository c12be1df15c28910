package demo

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config describes one run of the demo.
type Config struct {
	// User is the user whose recorded trace is replayed, one of Users.
	User string
	Log  hclog.Logger
	// Progress is called with a line of text for the steps of the trace, from
	// several goroutines; it may be nil.
	Progress func(text string)
}

// Run replays the trace of a user and returns the outcomes. If they differ from
// the expected ones, it returns the complete report with an OutcomeError.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	trc, err := load(cfg.User)
	if err != nil {
		return Report{}, err
	}
	clu, stop, err := newCluster(trc, cfg.Log)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	pla, stopPlayer, err := newPlayer(clu, cfg.Progress)
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

func seconds(dur time.Duration) float64 { return dur.Seconds() }
