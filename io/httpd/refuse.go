package httpd

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/io/limit"
)

const (
	// refuseTimeout bounds the writing of a response to a request that was not read, and
	// the reading of what the client still sends, which is at most maxUnread bytes.
	refuseTimeout = 200 * time.Millisecond
	maxUnread     = 256 << 10
)

// retryAfterSeconds is the Retry-After value of a request that was refused for lack of
// memory, which other requests release within a second.
const retryAfterSeconds = 1

// Responses to requests whose head is not read to its end, without the end of their heads.
const (
	responseLargeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n"
	responseNoMemory  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n"
)

// RefusalError reports that a request was not read as a whole, or that there was no memory
// for it. It was not carried out.
type RefusalError struct {
	status int
	cause  string
}

// Status returns the HTTP status of the response.
func (err *RefusalError) Status() int { return err.status }

// Error describes the failure.
func (err *RefusalError) Error() string {
	return "request refused with status " + strconv.Itoa(err.status) + ": " + err.cause
}

var (
	errNoMemory       = &RefusalError{status: http.StatusServiceUnavailable, cause: "no memory at this time, send it again"}
	errLargeHead      = &RefusalError{status: http.StatusRequestHeaderFieldsTooLarge, cause: "head over the limit"}
	errLargeBody      = &RefusalError{status: http.StatusRequestEntityTooLarge, cause: "body over the limit"}
	errTimeout        = &RefusalError{status: http.StatusRequestTimeout, cause: "the body did not arrive in time"}
	errIncompleteBody = &RefusalError{status: http.StatusBadRequest, cause: "the body could not be read to its end"}
)

// Refuse writes the response to a request for which ReadBody or Reserve failed, and counts
// it. The connection ends after it, because the rest of the request is not read. An error
// that is not a *RefusalError is answered like a body that ended early.
func Refuse(rsp http.ResponseWriter, req *http.Request, err error) {
	var ref *RefusalError
	if !errors.As(err, &ref) {
		ref = errIncompleteBody
	}
	if con, ok := connOf(req.Context()); ok {
		con.bounds.budget.Count(ref.kind())
	}
	rsp.Header().Set("Connection", "close")
	if ref.status == http.StatusServiceUnavailable {
		rsp.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	rsp.WriteHeader(ref.status)
}

// kind returns the reason under which the refusal is counted.
func (err *RefusalError) kind() limit.Kind {
	switch err {
	case errNoMemory:
		return limit.RefusedMemory
	case errLargeHead:
		return limit.LargeHead
	case errLargeBody:
		return limit.LargeBody
	}
	return limit.Incomplete
}

// rejectEvicted answers the request whose head is being read, if the connection has been
// evicted.
func (con *conn) rejectEvicted() {
	con.mu.Lock()
	answer := con.evicted && con.phase == phaseHead && con.head.bytes > 0
	con.mu.Unlock()
	if answer {
		con.rejectHead(responseNoMemory, nil)
	}
}

// rejectHead writes the response to a request whose head has not been read as a whole. It
// then reads from the connection into buf for a short time, because unread bytes would
// make the client lose the response.
func (con *conn) rejectHead(response string, buf []byte) {
	_ = con.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(con.Conn, response+con.bounds.refusalHeader+"\r\n")
	// Package http must not write a second response.
	_ = con.CloseWrite()
	if len(buf) == 0 {
		return
	}
	_ = con.Conn.SetReadDeadline(time.Now().Add(refuseTimeout))
	for read := 0; read < maxUnread; {
		num, err := con.Conn.Read(buf)
		if err != nil {
			return
		}
		read += num
	}
}
