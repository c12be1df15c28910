package cell

import (
	"strconv"
	"time"
)

// Limits bound a single request of a caller. A limit that is 0 is not set.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody int64
	// HeaderTimeout bounds the time in which a request header arrives, and IdleTimeout
	// the time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	// largestHeader and largestBody are the most that limits of a request may allow, in
	// bytes. A call must fit in a frame between VMs.
	largestHeader = 1 << 20
	largestBody   = 4 << 20
	// longestTimeout is the most that a timeout may be.
	longestTimeout = time.Hour
)

// check calls rejectIf for each limit.
func (lim Limits) check(rejectIf func(bad bool, field, allowed string)) {
	rejectIf(lim.MaxHeader < 0 || lim.MaxHeader > largestHeader, "limits.maxHeader", "0 to "+strconv.Itoa(largestHeader)+" bytes")
	rejectIf(lim.MaxBody < 0 || lim.MaxBody > largestBody, "limits.maxBody", "0 to "+strconv.Itoa(largestBody)+" bytes")
	rejectIf(lim.HeaderTimeout < 0 || lim.HeaderTimeout > longestTimeout, "limits.headerTimeout", "0 to "+longestTimeout.String())
	rejectIf(lim.IdleTimeout < 0 || lim.IdleTimeout > longestTimeout, "limits.idleTimeout", "0 to "+longestTimeout.String())
}

// Limits returns the limits of a single request.
func (doc Document) Limits() Limits { return doc.spec.Limits }
