package host

import (
	"context"
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// NewSystem returns an actor system that logs to log. The clean-up function
// shuts the system down.
func NewSystem(log hclog.Logger) (*actor.ActorSystem, func()) {
	sys := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(&logHandler{log: log.Named("actor")})
	}))
	return sys, func() { sys.Shutdown() }
}

// logHandler passes the log records of the actor library to hclog. Records below
// the warn level concern the internals of the library and are logged at the debug
// level.
type logHandler struct {
	log hclog.Logger
}

// Enabled reports whether records of the level are logged.
func (lh *logHandler) Enabled(_ context.Context, lvl slog.Level) bool {
	if lvl >= slog.LevelWarn {
		return true
	}
	return lh.log.IsDebug()
}

// Handle logs one record.
func (lh *logHandler) Handle(_ context.Context, rec slog.Record) error {
	args := make([]any, 0, 2*rec.NumAttrs())
	rec.Attrs(func(att slog.Attr) bool {
		args = append(args, att.Key, att.Value.String())
		return true
	})
	switch {
	case rec.Level >= slog.LevelError:
		lh.log.Error(rec.Message, args...)
	case rec.Level >= slog.LevelWarn:
		lh.log.Warn(rec.Message, args...)
	default:
		lh.log.Debug(rec.Message, args...)
	}
	return nil
}

// WithAttrs returns a handler that adds ats to each record.
func (lh *logHandler) WithAttrs(ats []slog.Attr) slog.Handler {
	args := make([]any, 0, 2*len(ats))
	for _, att := range ats {
		args = append(args, att.Key, att.Value.String())
	}
	return &logHandler{log: lh.log.With(args...)}
}

// WithGroup returns a handler whose logger has the name of the group appended to
// its own.
func (lh *logHandler) WithGroup(name string) slog.Handler {
	return &logHandler{log: lh.log.Named(name)}
}
