package peer

import (
	"net"
	"time"

	"github.com/juju/errors"

	"guavarail/io/limit"
)

// maxUnreadBytes bounds what yamux may hold of all streams of a session that is not yet
// established: two windows. A VM whose streams are read stays far below it.
const maxUnreadBytes = 2 * windowBytes

// boundedConn is the connection of a VM without a known address. yamux holds up to
// windowBytes of each stream before this VM reads it; a session that makes it hold more
// than maxUnreadBytes ends, unless it is older than establishedAge.
type boundedConn struct {
	net.Conn
	unread   *unread
	budget   *limit.Budget
	openedAt time.Time
}

// Read implements net.Conn.
func (bc *boundedConn) Read(buf []byte) (int, error) {
	num, err := bc.Conn.Read(buf)
	if num <= 0 {
		return num, err
	}
	now := time.Now()
	if bc.unread.arrived(now, buf[:num]) > maxUnreadBytes && now.Sub(bc.openedAt) < establishedAge {
		bc.budget.Count(limit.RefusedFrame)
		return 0, errors.Trace(&ProtocolError{text: "too much is sent before it is read"})
	}
	return num, err
}
