package entry

import (
	"context"
	"io"
	"net/http"

	"guavarail/core/once"
	"guavarail/core/route"
)

// upgrade connects the caller and the backend server after status 101 (Switching
// Protocols). The connection counts as one request: it uses a slot and is closed
// at the end of the maximum request time.
func (ex *exchange) upgrade(wri http.ResponseWriter, req *http.Request, resp *http.Response) {
	srv := ex.srv
	backend, ok := resp.Body.(io.ReadWriteCloser)
	if !ok || upgradeProtocol(req.Header) != upgradeProtocol(resp.Header) {
		_ = resp.Body.Close()
		ex.fail(wri, nil, http.StatusBadGateway, "badUpgrade", route.Failed)
		return
	}
	defer backend.Close()
	copyHeaders(wri.Header(), resp.Header)
	wri.Header()[HeaderOutcome] = []string{OutcomeAnswered}
	wri.WriteHeader(http.StatusSwitchingProtocols)
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		ex.settle(once.Unknown)
		srv.ref.Send(route.NewDone(ex, route.Cancelled))
		srv.ref.Send(route.NewSlotReleased(ex))
		panic(http.ErrAbortHandler)
	}
	defer con.Close()
	ex.settle(once.Answered)
	srv.metrics.add("upgraded")
	if err := buf.Flush(); err == nil {
		ex.tunnel(resp.Request.Context(), con, buf, backend)
	}
	srv.ref.Send(route.NewDone(ex, route.Answered))
}

// tunnel copies in both directions until one side closes its connection or ctx
// ends. buffered reads from the caller, first the bytes that net/http has buffered.
func (ex *exchange) tunnel(ctx context.Context, con io.ReadWriteCloser, buffered io.Reader, backend io.ReadWriteCloser) {
	ended := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader) func(context.Context) {
		return func(context.Context) {
			_, _ = io.Copy(dst, src)
			ended <- struct{}{}
		}
	}
	ex.srv.goroutines.run(ctx, pipe(backend, buffered))
	ex.srv.goroutines.run(ctx, pipe(con, backend))
	select {
	case <-ended:
	case <-ctx.Done():
		ended <- struct{}{}
	}
	_ = con.Close()
	_ = backend.Close()
	<-ended
}
