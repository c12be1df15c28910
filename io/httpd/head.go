package httpd

import (
	"context"
	"net/http"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

const (
	// headSlack is the part of a body that may be read with the head: the size of the
	// buffer of package http.
	headSlack = 4 << 10
	// headCopies is the number of bytes that package http allocates for each byte of a
	// head: a line is read into a buffer that doubles, and then copied.
	headCopies = 4
	// headStep is the unit in which the memory of a head is reserved, in bytes.
	headStep = 8 << 10
)

// admitHead reports whether a head of which size bytes have been read may be read further.
// It writes the response if not, and then uses buf to read what the client still sends.
func (con *conn) admitHead(size int64, buf []byte) bool {
	if size <= buffer.SmallBytes || con.bounds == nil {
		return true
	}
	if size > con.bounds.Limits().MaxHeader+headSlack {
		con.bounds.budget.Count(limit.LargeHead)
		con.rejectHead(responseLargeHead, buf)
		return false
	}
	if con.reserveHead(size) != nil {
		con.bounds.budget.Count(limit.RefusedMemory)
		con.rejectHead(responseNoMemory, buf)
		return false
	}
	return true
}

// reserveHead reserves the memory for a head of which size bytes have been read, in steps
// of headStep.
func (con *conn) reserveHead(size int64) error {
	con.mu.Lock()
	held := con.headHeld
	con.mu.Unlock()
	want := headCopies * (size - buffer.SmallBytes)
	if want <= held {
		return nil
	}
	want = (want + headStep - 1) / headStep * headStep
	if err := con.lease.Reserve(context.Background(), want-held); err != nil {
		return err
	}
	con.mu.Lock()
	con.headHeld = want
	con.mu.Unlock()
	return nil
}

// checkHead returns the refusal of a request whose head or declared body is over its
// limit, or whose connection has been evicted, and nil otherwise.
func (con *conn) checkHead(req *http.Request) error {
	lim := con.bounds.Limits()
	switch {
	case headSize(req) > lim.MaxHeader:
		return errLargeHead
	case req.ContentLength > lim.MaxBody:
		return errLargeBody
	case !con.requestBegins(req.ContentLength != 0):
		return errNoMemory
	}
	return nil
}

// headSize returns the size of the head of a request in bytes, without optional spaces.
func headSize(req *http.Request) int64 {
	// Spaces, line ends and the name of the Host header.
	size := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("  \r\nHost: \r\n\r\n") + len(req.Host)
	for name, values := range req.Header {
		for _, val := range values {
			size += len(name) + len(val) + len(": \r\n")
		}
	}
	return int64(size)
}
