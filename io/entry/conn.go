package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes written to a backend server, which tells
// whether a failed request can have reached it.
type countedConn struct {
	net.Conn
	written atomic.Int64
	refused atomic.Bool
	// first runs after the next write of a byte.
	first atomic.Pointer[func()]
}

// Write writes to the connection unless it refuses requests.
func (cc *countedConn) Write(buf []byte) (int, error) {
	if cc.refused.Load() {
		return 0, &ResentError{}
	}
	num, err := cc.Conn.Write(buf)
	cc.written.Add(int64(num))
	if num > 0 && cc.first.Load() != nil {
		if fn := cc.first.Swap(nil); fn != nil {
			(*fn)()
		}
	}
	return num, err
}

// refuse makes all later writes fail.
func (cc *countedConn) refuse() { cc.refused.Store(true) }

// onWrite runs fn after the next write.
func (cc *countedConn) onWrite(fn func()) { cc.first.Store(&fn) }

func newTransport(li Limits) *http.Transport {
	dia := &net.Dialer{Timeout: li.DialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			con, err := dia.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: con}, nil
		},
		// The caller negotiates the coding with the backend server.
		DisableCompression:     true,
		MaxIdleConnsPerHost:    li.IdleBackendConnections,
		IdleConnTimeout:        60 * time.Second,
		MaxResponseHeaderBytes: li.ResponseHeaderBytes,
		ExpectContinueTimeout:  time.Second,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         16 << 10,
	}
}
