package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"guavarail/io/limit"
)

const (
	// smallUnread is what yamux may hold of all streams as a part of buffer.LinkBytes.
	smallUnread = 8 << 10
	// unreadStep is the unit in which the memory of what yamux holds is reserved.
	unreadStep = 64 << 10
	// maxUnreadBytes bounds what yamux may hold of all streams of one link. A VM keeps below
	// it, because it bounds what it forwards at once.
	maxUnreadBytes = 16 * windowBytes
)

// boundedConn is an accepted connection. The budget counts it and, if the VM has no known
// address, what yamux holds of its streams before this VM reads them. If there is no memory
// for that, the link ends.
type boundedConn struct {
	net.Conn
	budget *limit.Budget
	// connection is the lease of the connection and of what yamux holds.
	connection *limit.Lease
	// unread is nil if what yamux holds is not counted.
	unread *unread

	// mu guards reserved, which is what is reserved for what yamux holds.
	mu       sync.Mutex
	reserved int64
}

// newBoundedConn returns the bounded connection around conn, and false if there is no room
// for it.
func newBoundedConn(conn net.Conn, budget *limit.Budget) (*boundedConn, bool) {
	lease, ok := budget.Link(func() { _ = conn.Close() })
	if !ok {
		return nil, false
	}
	return &boundedConn{Conn: conn, budget: budget, connection: lease}, true
}

// trust marks the connection of a VM with a known address, which is not closed to make room
// for others.
func (bc *boundedConn) trust() { bc.connection.Serve() }

// count counts from now on what yamux holds, for a VM without a known address.
func (bc *boundedConn) count() {
	if bc.budget.Bounded() {
		bc.unread = &unread{onEmpty: bc.release}
	}
}

// Read implements net.Conn.
func (bc *boundedConn) Read(buf []byte) (int, error) {
	num, err := bc.Conn.Read(buf)
	if num <= 0 || bc.unread == nil {
		return num, err
	}
	if held := bc.unread.arrived(time.Now(), buf[:num]); held > maxUnreadBytes || !bc.reserve(held) {
		bc.budget.Count(limit.RefusedFrame)
		return 0, errors.Trace(&ProtocolError{text: "too much is sent before it is read"})
	}
	return num, err
}

// reserve reserves the memory for what yamux holds. Only the goroutine that reads the
// connection calls it.
func (bc *boundedConn) reserve(held int64) bool {
	bc.mu.Lock()
	reserved := bc.reserved
	bc.mu.Unlock()
	want := (max(0, held-smallUnread) + unreadStep - 1) / unreadStep * unreadStep
	if want <= reserved {
		return true
	}
	if bc.connection.Reserve(context.Background(), want-reserved) != nil {
		return false
	}
	bc.mu.Lock()
	bc.reserved += want - reserved
	bc.mu.Unlock()
	return true
}

// release releases what was reserved, once yamux holds nothing.
func (bc *boundedConn) release() {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	bc.connection.Release(bc.reserved)
	bc.reserved = 0
}

// Close implements net.Conn.
func (bc *boundedConn) Close() error {
	defer bc.connection.Close()
	return bc.Conn.Close()
}
