package entry

import (
	"context"
	"io"
	"net/http"

	"guavarail/core/once"
	"guavarail/core/route"
)

// upgrade connects caller and backend server after 101 Switching Protocols. The
// connection counts as one request: it holds its slot and ends at the maximum
// request time.
func (ex *exchange) upgrade(wri http.ResponseWriter, req *http.Request, resp *http.Response) {
	srv := ex.srv
	back, ok := resp.Body.(io.ReadWriteCloser)
	if !ok || upgradeOf(req.Header) != upgradeOf(resp.Header) {
		_ = resp.Body.Close()
		ex.fail(wri, nil, http.StatusBadGateway, "badUpgrade", route.Failed)
		return
	}
	defer back.Close()
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
		ex.tunnel(resp.Request.Context(), con, buf, back)
	}
	srv.ref.Send(route.NewDone(ex, route.Answered))
}

// tunnel copies both ways until one side ends or ctx is over.
func (ex *exchange) tunnel(ctx context.Context, con io.ReadWriteCloser, early io.Reader, back io.ReadWriteCloser) {
	ends := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader) func(context.Context) {
		return func(context.Context) {
			_, _ = io.Copy(dst, src)
			ends <- struct{}{}
		}
	}
	ex.srv.tasks.run(ctx, pipe(back, early))
	ex.srv.tasks.run(ctx, pipe(con, back))
	select {
	case <-ends:
	case <-ctx.Done():
		ends <- struct{}{}
	}
	_ = con.Close()
	_ = back.Close()
	<-ends
}
