package peer

import (
	"container/list"
	"net"
	"sync"
)

// handshakes is the list of connections whose Hello has not arrived yet. The accept loop
// and the goroutine of each handshake use it, so a mutex guards it. The zero value is empty.
type handshakes struct {
	mu sync.Mutex
	// conns has them oldest first.
	conns list.List
}

// add adds a connection. The returned function removes it.
func (hs *handshakes) add(conn net.Conn) func() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	el := hs.conns.PushBack(conn)
	return func() {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		hs.conns.Remove(el)
	}
}

// closeOldest closes the connection that was added first.
func (hs *handshakes) closeOldest() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if el := hs.conns.Front(); el != nil {
		_ = el.Value.(net.Conn).Close()
	}
}
