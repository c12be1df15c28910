package httpd

import (
	"sync"
	"sync/atomic"
	"time"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

const (
	// defaultMaxHeader and defaultMaxBody are the defaults of Limits, in bytes. Those of
	// the timeouts are headerTimeout and idleTimeout.
	defaultMaxHeader = 32 << 10
	defaultMaxBody   = 4 << 20
	// largestHeader is the most that MaxHeader can be, in bytes.
	largestHeader = 1 << 20
	// progressTimeout bounds the time in which nothing of a body arrives. The deadline is
	// moved at most once per progressInterval.
	progressTimeout  = 5 * time.Second
	progressInterval = time.Second
)

// Limits bound a single request. A limit that is 0 stands for its default.
type Limits struct {
	// MaxHeader and MaxBody are in bytes. MaxHeader is at most largestHeader.
	MaxHeader, MaxBody int64
	// HeaderTimeout bounds the time in which a head arrives, and IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// withDefaults returns the limits with their defaults.
func (lim Limits) withDefaults() Limits {
	out := Limits{MaxHeader: defaultMaxHeader, MaxBody: defaultMaxBody, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if lim.MaxHeader > 0 {
		out.MaxHeader = min(lim.MaxHeader, largestHeader)
	}
	if lim.MaxBody > 0 {
		out.MaxBody = lim.MaxBody
	}
	if lim.HeaderTimeout > 0 {
		out.HeaderTimeout = lim.HeaderTimeout
	}
	if lim.IdleTimeout > 0 {
		out.IdleTimeout = lim.IdleTimeout
	}
	return out
}

// Bounds are the limits of the requests of one server, and the budget that all servers of
// the process share. The zero value has the default limits and no budget.
type Bounds struct {
	class  buffer.Class
	budget *limit.Budget
	// refusalHeader is a header line of responses to requests whose head was not read to its
	// end. It is empty or ends with a line end.
	refusalHeader string
	// limits is nil before the first call of SetLimits.
	limits atomic.Pointer[Limits]
	// mu guards open.
	mu sync.Mutex
	// open has the open connections, to which changed limits are applied.
	open map[*conn]struct{}
}

// defaultLimits are the limits before the first call of SetLimits.
var defaultLimits = Limits{}.withDefaults()

// NewBounds returns the bounds of a server for clients of a class. budget may be nil.
func NewBounds(cl buffer.Class, budget *limit.Budget) *Bounds {
	return &Bounds{class: cl, budget: budget}
}

// SetRefusalHeader sets a header of responses to requests whose head was not read to its
// end. It must be called before the bounds are used.
func (bnd *Bounds) SetRefusalHeader(name, value string) {
	bnd.refusalHeader = name + ": " + value + "\r\n"
}

// Limits returns the limits in effect.
func (bnd *Bounds) Limits() Limits {
	if lim := bnd.limits.Load(); lim != nil {
		return *lim
	}
	return defaultLimits
}

// SetLimits replaces the limits, also for open connections.
func (bnd *Bounds) SetLimits(lim Limits) {
	lim = lim.withDefaults()
	bnd.limits.Store(&lim)
	bnd.mu.Lock()
	defer bnd.mu.Unlock()
	for con := range bnd.open {
		con.limitsChanged()
	}
}

// add adds an open connection.
func (bnd *Bounds) add(con *conn) {
	bnd.mu.Lock()
	defer bnd.mu.Unlock()
	if bnd.open == nil {
		bnd.open = map[*conn]struct{}{}
	}
	bnd.open[con] = struct{}{}
}

// remove removes a connection that is closed.
func (bnd *Bounds) remove(con *conn) {
	bnd.mu.Lock()
	defer bnd.mu.Unlock()
	delete(bnd.open, con)
}
