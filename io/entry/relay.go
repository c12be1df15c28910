package entry

import (
	"io"
	"net/http"
	"time"

	"guavarail/core/once"
	"guavarail/core/route"
)

// copyBufferBytes is the maximum size of the buffer for copying a body.
const copyBufferBytes = 32 << 10

// relay passes the response of a backend server on to the caller. It panics with
// http.ErrAbortHandler if the response cannot be completed.
func (ex *exchange) relay(wri http.ResponseWriter, req *http.Request, resp *http.Response, bod *body) {
	srv := ex.srv
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		discardBody(resp.Body)
		srv.ref.Send(route.NewDone(ex, route.NotRun))
		ex.settle(once.None)
		stopReading(wri, bod)
		srv.replyNotRun(wri, http.StatusServiceUnavailable, "backendDeclined", retryAfter(resp.Header))
		return
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		ex.upgrade(wri, req, resp)
		return
	}
	defer resp.Body.Close()
	ex.settle(once.Answered)
	ex.writeHeader(wri, resp, OutcomeAnswered)
	readErr, writeErr := ex.copyBody(wri, resp)
	switch {
	case writeErr != nil:
		// The caller closed its connection. The rest of the response is read, so
		// that the slot stays in use while the backend server still sends.
		srv.ref.Send(route.NewDone(ex, route.Cancelled))
		srv.metrics.add("answeredCancelled")
		discardBody(resp.Body)
		srv.ref.Send(route.NewSlotReleased(ex))
		panic(http.ErrAbortHandler)
	case readErr != nil:
		srv.ref.Send(route.NewDone(ex, route.Failed))
		srv.metrics.add("truncatedResponses")
		srv.cfg.Log.Warn("backend server ended the response early; connection to the caller closed", "service", ex.meta.service, "error", readErr)
		// The panic closes the connection, so that the caller does not take the
		// response for complete.
		panic(http.ErrAbortHandler)
	}
	srv.ref.Send(route.NewDone(ex, outcomeOf(resp.StatusCode)))
	srv.metrics.add("answered")
	for name, vals := range resp.Trailer {
		wri.Header()[http.TrailerPrefix+name] = vals
	}
	stopReading(wri, bod)
}

// outcomeOf returns the outcome to report for a request that was answered with
// status: a gateway error (502, 503 or 504) counts as a failure of the backend
// server.
func outcomeOf(status int) route.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.Failed
	}
	return route.Answered
}

// writeHeader writes the response header. If the backend server marks the end of
// the response by closing the connection, the entry VM does the same: a chunked
// response would end with a marker even if the original was cut short.
func (ex *exchange) writeHeader(wri http.ResponseWriter, resp *http.Response, outcome string) {
	hdr := wri.Header()
	closing := hdr.Get("Connection") == "close"
	copyHeaders(hdr, resp.Header)
	delete(hdr, HeaderNotRun)
	hdr[HeaderOutcome] = []string{outcome}
	if closing {
		hdr["Connection"] = []string{"close"}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && bodyAllowed(resp) {
		hdr["Transfer-Encoding"] = []string{"identity"}
	}
	ex.srv.extendWriteDeadline(wri)
	wri.WriteHeader(resp.StatusCode)
}

// bodyAllowed reports whether the response may have a body.
func bodyAllowed(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode >= 200 &&
		resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// copyBody copies the body to the caller and returns read and write errors
// separately. A response of unknown length is flushed after each read, because
// its backend server may pause while it sends the body.
func (ex *exchange) copyBody(wri http.ResponseWriter, resp *http.Response) (readErr, writeErr error) {
	ctl := http.NewResponseController(wri)
	flushChunks := resp.ContentLength < 0
	if flushChunks {
		if err := ctl.Flush(); err != nil {
			return nil, err
		}
	}
	size := copyBufferBytes
	if resp.ContentLength >= 0 {
		size = int(min(resp.ContentLength+1, copyBufferBytes))
	}
	buf := make([]byte, size)
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 {
			ex.srv.extendWriteDeadline(wri)
			if _, werr := wri.Write(buf[:num]); werr != nil {
				return nil, werr
			}
			if flushChunks {
				if werr := ctl.Flush(); werr != nil {
					return nil, werr
				}
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// retryAfter returns the duration in the Retry-After header, or 0 if it is not a
// number of seconds.
func retryAfter(hdr http.Header) time.Duration {
	dur, err := time.ParseDuration(hdr.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return dur
}
