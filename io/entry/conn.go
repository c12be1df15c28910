package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes written to a backend server, which shows whether
// a failed request can have reached it.
type countedConn struct {
	net.Conn
	// written is in bytes.
	written       atomic.Int64
	writesBlocked atomic.Bool
	// nextWriteHook runs once, after the next write of at least one byte.
	nextWriteHook atomic.Pointer[func()]
}

// Write writes to the connection. It returns a *ResentError if writes are
// blocked.
func (cc *countedConn) Write(buf []byte) (int, error) {
	if cc.writesBlocked.Load() {
		return 0, &ResentError{}
	}
	num, err := cc.Conn.Write(buf)
	cc.written.Add(int64(num))
	if num > 0 && cc.nextWriteHook.Load() != nil {
		if fn := cc.nextWriteHook.Swap(nil); fn != nil {
			(*fn)()
		}
	}
	return num, err
}

// blockWrites makes all later writes fail.
func (cc *countedConn) blockWrites() { cc.writesBlocked.Store(true) }

// onNextWrite runs fn once, after the next write of at least one byte.
func (cc *countedConn) onNextWrite(fn func()) { cc.nextWriteHook.Store(&fn) }

// newTransport returns the transport to backend servers and to entry VMs of other data
// centres.
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
		// The caller negotiates the content coding with the backend server.
		DisableCompression:     true,
		MaxIdleConnsPerHost:    li.IdleBackendConnections,
		IdleConnTimeout:        60 * time.Second,
		MaxResponseHeaderBytes: li.ResponseHeaderBytes,
		ExpectContinueTimeout:  time.Second,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         16 << 10,
	}
}
