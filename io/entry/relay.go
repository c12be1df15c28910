package entry

import (
	"io"
	"net/http"
	"time"

	"guavarail/core/once"
	"guavarail/core/route"
)

// copyBytes is the size of the pieces in which bodies are copied.
const copyBytes = 32 << 10

// relay passes the response of a backend server to the caller.
func (ex *exchange) relay(wri http.ResponseWriter, req *http.Request, resp *http.Response, bod *body) {
	srv := ex.srv
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		drain(resp.Body)
		srv.ref.Send(route.NewDone(ex, route.NotRun))
		ex.settle(once.None)
		stopReading(wri, bod)
		srv.notRun(wri, http.StatusServiceUnavailable, "backendDeclined", retryAfter(resp.Header))
		return
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		ex.upgrade(wri, req, resp)
		return
	}
	defer resp.Body.Close()
	ex.settle(once.Answered)
	ex.header(wri, resp, OutcomeAnswered)
	readErr, writeErr := ex.stream(wri, resp)
	switch {
	case writeErr != nil:
		// The caller is gone. The rest is read, so that the slot stays counted
		// while the backend server still sends.
		srv.ref.Send(route.NewDone(ex, route.Cancelled))
		srv.metrics.add("answeredCancelled")
		drain(resp.Body)
		srv.ref.Send(route.NewSlotReleased(ex))
		panic(http.ErrAbortHandler)
	case readErr != nil:
		srv.ref.Send(route.NewDone(ex, route.Failed))
		srv.metrics.add("truncatedResponses")
		srv.cfg.Log.Warn("response truncated", "service", ex.meta.service, "error", readErr)
		// Closes the connection, so that the caller does not take the response
		// for complete.
		panic(http.ErrAbortHandler)
	}
	srv.ref.Send(route.NewDone(ex, judge(resp.StatusCode)))
	srv.metrics.add("answered")
	for name, vals := range resp.Trailer {
		wri.Header()[http.TrailerPrefix+name] = vals
	}
	stopReading(wri, bod)
}

// judge counts gateway errors of a backend server as failures of it.
func judge(status int) route.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.Failed
	}
	return route.Answered
}

// header writes the response header. A response that ends with its connection
// ends the same way towards the caller, who otherwise could not notice that it
// was cut.
func (ex *exchange) header(wri http.ResponseWriter, resp *http.Response, outcome string) {
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
	ex.srv.allowWrites(wri)
	wri.WriteHeader(resp.StatusCode)
}

func bodyAllowed(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode >= 200 &&
		resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// stream copies the body and tells errors of the two sides apart. Responses of
// unknown length are flushed piece by piece, because their backend server may
// wait between pieces.
func (ex *exchange) stream(wri http.ResponseWriter, resp *http.Response) (readErr, writeErr error) {
	ctl := http.NewResponseController(wri)
	live := resp.ContentLength < 0
	if live {
		if err := ctl.Flush(); err != nil {
			return nil, err
		}
	}
	size := copyBytes
	if resp.ContentLength >= 0 {
		size = int(min(resp.ContentLength+1, copyBytes))
	}
	buf := make([]byte, size)
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 {
			ex.srv.allowWrites(wri)
			if _, wrong := wri.Write(buf[:num]); wrong != nil {
				return nil, wrong
			}
			if live {
				if wrong := ctl.Flush(); wrong != nil {
					return nil, wrong
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

func retryAfter(hdr http.Header) time.Duration {
	dur, err := time.ParseDuration(hdr.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return dur
}
