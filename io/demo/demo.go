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
	// Log receives the logs of the entry VMs and workers; nil means no logs.
	Log hclog.Logger
	// Progress is called with a line of text about each step of the trace, except
	// for steps of kind requests. It is called from several goroutines; nil means
	// that nothing is called.
	Progress func(text string)
}

// Run replays the trace of a user and returns the outcomes. If they differ from
// the expected ones, it returns both the complete report and an OutcomeError; with
// any other error the report is zero.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	trc, err := loadTrace(cfg.User)
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
