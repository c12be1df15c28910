package httpd

import (
	"context"
	"net"
	"net/http"
)

// The functions of this file apply Bounds to an http.Server that another package runs.

// Guard returns a listener whose connections are bounded. They must be passed to WithConn and
// ConnState by the hooks of the server, and its requests to Admit.
func (bnd *Bounds) Guard(lis net.Listener) net.Listener { return newListener(lis, bnd) }

// WithConn is the ConnContext hook.
func WithConn(ctx context.Context, nc net.Conn) context.Context { return withConn(ctx, nc) }

// ConnState is the ConnState hook.
func ConnState(nc net.Conn, state http.ConnState) { connState(nc, state) }

// Admit checks the head of a request whose body is streamed and not read by ReadBody. From
// then on its connection is not closed to make room for others. The error is a
// *RefusalError.
func Admit(req *http.Request) error {
	if con, ok := connOf(req.Context()); ok {
		return con.checkHead(req, false)
	}
	return nil
}

// CountRefusal counts a refused request that the server answers by itself.
func CountRefusal(req *http.Request, err *RefusalError) {
	if con, ok := connOf(req.Context()); ok {
		con.bounds.budget.Count(err.kind())
	}
}
