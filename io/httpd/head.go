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
	// fieldBytes is the memory of a field of a head besides its text: the entry of the map,
	// the slice of values and two strings.
	fieldBytes = 256
	// smallFields is the number of fields that are part of buffer.BaseBytes.
	smallFields = 32
	// headStep is the unit in which the memory of a head is reserved, in bytes.
	headStep = 8 << 10
)

// headCount is what has arrived of a head.
type headCount struct {
	// bytes includes what may belong to the body, and lines ends of lines in it.
	bytes, lines int64
}

// small reports whether buffer.BaseBytes has room for the head.
func (cnt headCount) small() bool { return cnt.bytes <= buffer.SmallBytes && cnt.lines <= smallFields }

// memory returns the memory of the head besides buffer.BaseBytes.
func (cnt headCount) memory() int64 {
	sum := headCopies*max(0, cnt.bytes-buffer.SmallBytes) + fieldBytes*max(0, cnt.lines-smallFields)
	return (sum + headStep - 1) / headStep * headStep
}

// admitHead reports whether a head may be read further. It writes the response if not, and
// then uses buf to read what the client still sends.
func (con *conn) admitHead(cnt headCount, buf []byte) bool {
	if cnt.small() || con.bounds == nil {
		return true
	}
	if cnt.bytes > con.bounds.Limits().MaxHeader+headSlack {
		con.bounds.budget.Count(limit.LargeHead)
		con.rejectHead(responseLargeHead, buf)
		return false
	}
	if con.reserveHead(cnt) != nil {
		con.bounds.budget.Count(limit.RefusedMemory)
		con.rejectHead(responseNoMemory, buf)
		return false
	}
	return true
}

// reserveHead reserves the memory for a head, unless it has been reserved before.
func (con *conn) reserveHead(cnt headCount) error {
	want := cnt.memory()
	con.mu.Lock()
	held := con.headHeld
	con.mu.Unlock()
	if want <= held {
		return nil
	}
	if err := con.lease.Reserve(context.Background(), want-held); err != nil {
		return err
	}
	con.mu.Lock()
	con.headHeld = want
	con.mu.Unlock()
	return nil
}

// checkHead returns the refusal of a request whose head or declared body is over its
// limit, for whose head there is no memory, or whose connection has been evicted, and nil
// otherwise. The memory is reserved here for a head that was read together with the request
// before it. Unless awaitBody is set, the request counts as arrived as a whole.
func (con *conn) checkHead(req *http.Request, awaitBody bool) error {
	lim := con.bounds.Limits()
	size, fields := headSize(req)
	switch {
	case size > lim.MaxHeader:
		return errLargeHead
	case req.ContentLength > lim.MaxBody:
		return errLargeBody
	case fields > smallFields && con.reserveHead(headCount{bytes: size, lines: fields}) != nil:
		return errNoMemory
	case !con.requestBegins(awaitBody && req.ContentLength != 0):
		return errNoMemory
	}
	return nil
}

// headSize returns the size of the head of a request in bytes, without optional spaces,
// and its number of fields.
func headSize(req *http.Request) (size, fields int64) {
	// Spaces, line ends and the name of the Host header.
	size = int64(len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("  \r\nHost: \r\n\r\n") + len(req.Host))
	for name, values := range req.Header {
		for _, val := range values {
			size += int64(len(name) + len(val) + len(": \r\n"))
		}
		fields += int64(len(values))
	}
	return size, fields
}
