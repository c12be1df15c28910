package peer

import (
	"net"
	"time"

	"github.com/juju/errors"

	"guavarail/io/limit"
)

// maxUnread bounds what yamux may hold of all streams of a young session, in bytes: two
// windows. A VM that reads its streams keeps far below it.
const maxUnread = 2 * windowBytes

// boundConn is the connection of a VM without a known address. yamux holds up to
// windowBytes of each stream before this VM reads it; a session that makes it hold more
// than maxUnread ends, unless it is an established one.
type boundConn struct {
	net.Conn
	unread   *unread
	budget   *limit.Budget
	openedAt time.Time
}

// Read implements net.Conn.
func (bc *boundConn) Read(buf []byte) (int, error) {
	num, err := bc.Conn.Read(buf)
	if num <= 0 {
		return num, err
	}
	now := time.Now()
	if bc.unread.arrived(now, buf[:num]) > maxUnread && now.Sub(bc.openedAt) < establishedAge {
		bc.budget.Count(limit.RefusedFrame)
		return 0, errors.Trace(&ProtocolError{text: "too much is sent before it is read"})
	}
	return num, err
}
