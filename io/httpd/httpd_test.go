package httpd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// freeAddress returns an address on the loopback interface whose port was free when it
// returned.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// Guards against a shutdown that aborts a running request, or that returns before its
// response is complete.
func TestStopCompletesRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	adr := freeAddress(t)
	stop, err := Start("test", adr, http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(rsp, "whole")
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	body := make(chan string, 1)
	go func() {
		rsp, err := http.Get("http://" + adr)
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = rsp.Body.Close() }()
		buf, _ := io.ReadAll(rsp.Body)
		body <- string(buf)
	}()
	<-arrived
	ended := make(chan error, 1)
	go func() { ended <- stop(context.Background()) }()
	select {
	case <-ended:
		t.Fatal("the server ended with a request in flight")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if got := <-body; got != "whole" {
		t.Errorf("answer %q", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// gatedListener accepts one connection at a time, which holds back the end of the second
// request that it has read.
type gatedListener struct {
	net.Listener
	conn *gatedConn
}

// Accept implements net.Listener.
func (gl *gatedListener) Accept() (net.Conn, error) {
	inner, err := gl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gl.conn.Conn = inner
	return gl.conn, nil
}

// gatedConn is the connection of a gatedListener.
type gatedConn struct {
	net.Conn
	// received has all bytes that were read.
	received []byte
	// read is closed when the second request has been read, which Read returns only after
	// release is closed.
	read, release chan struct{}
	closed        chan struct{}
	closeOnce     sync.Once
}

// Read implements net.Conn.
func (gc *gatedConn) Read(buf []byte) (int, error) {
	num, err := gc.Conn.Read(buf)
	gc.received = append(gc.received, buf[:num]...)
	if num > 0 && bytes.Count(gc.received, []byte("\r\n\r\n")) == 2 {
		close(gc.read)
		<-gc.release
	}
	return num, err
}

// Close implements net.Conn.
func (gc *gatedConn) Close() error {
	gc.closeOnce.Do(func() { close(gc.closed) })
	return gc.Conn.Close()
}

// Guards against a shutdown that drops a request which the server has read from an open
// connection but not parsed yet.
func TestStopAnswersRequestThatWasRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gc := &gatedConn{read: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	stop := start("test", &gatedListener{Listener: inner, conn: gc}, http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rsp, "whole")
	}), hclog.NewNullLogger())
	cli, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cli.Close() }()
	answers := bufio.NewReader(cli)
	get := func() (string, error) {
		rsp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return "", err
		}
		buf, err := io.ReadAll(rsp.Body)
		return string(buf), err
	}
	request := []byte("GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	_, _ = cli.Write(request)
	if got, err := get(); got != "whole" {
		t.Fatalf("first answer %q, %v", got, err)
	}
	_, _ = cli.Write(request)
	<-gc.read
	ended := make(chan error, 1)
	go func() { ended <- stop(context.Background()) }()
	// A server that drops the request closes the connection now.
	select {
	case <-gc.closed:
	case <-time.After(100 * time.Millisecond):
	}
	close(gc.release)
	if got, err := get(); got != "whole" {
		t.Errorf("answer to the request that was read before the shutdown: %q, %v", got, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that waits for connections without a request, and against one
// that does not report the requests it aborts.
func TestStopWithUnfinishedConnections(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	adr := freeAddress(t)
	stop, err := Start("test", adr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.Dial("tcp", adr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	cli, err := net.Dial("tcp", adr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cli.Close() }()
	_, _ = io.WriteString(cli, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- stop(ctx) }()
	if num, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection without a request: %d bytes, %v, want its end", num, err)
	}
	var aborted *AbortedError
	if err := <-ended; !errors.As(err, &aborted) || aborted.Requests() != 1 {
		t.Errorf("error %v, want one aborted request", err)
	}
}

// Guards against an address in use that is reported as another error than a
// ListenError.
func TestAddressInUse(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	_, err = Start("callers", lis.Addr().String(), http.NotFoundHandler(), hclog.NewNullLogger())
	var lse *ListenError
	if !errors.As(err, &lse) {
		t.Errorf("error %v, want a ListenError", err)
	}
}
