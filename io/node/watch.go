package node

import (
	"context"
	"net/http"
	"sync/atomic"

	"guavarail/io/busy"
)

// countedHandler counts the requests that it passes on.
type countedHandler struct {
	http.Handler
	count atomic.Int64
}

// ServeHTTP implements http.Handler.
func (han *countedHandler) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	han.count.Add(1)
	han.Handler.ServeHTTP(wri, req)
}

// startWatch watches the processor time of the process against the requests of callers,
// the calls of the API and the frames of other VMs. The returned function ends the watch.
func startWatch(ctx context.Context, nod *Node, api *countedHandler) func() {
	work := func() int64 { return nod.entry.Requests() + api.count.Load() + nod.hub.Vars().Frames() }
	return busy.Start(ctx, busy.Config{Work: work, Log: nod.log})
}
