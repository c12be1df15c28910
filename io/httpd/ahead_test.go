package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// watchedListener counts the bytes that are read from its only connection.
type watchedListener struct {
	net.Listener
	read chan int
}

// Accept implements net.Listener.
func (wl *watchedListener) Accept() (net.Conn, error) {
	inner, err := wl.Listener.Accept()
	return &watchedConn{Conn: inner, read: wl.read}, err
}

type watchedConn struct {
	net.Conn
	read chan int
}

// Read implements net.Conn.
func (wc *watchedConn) Read(buf []byte) (int, error) {
	num, err := wc.Conn.Read(buf)
	if num > 0 {
		wc.read <- num
	}
	return num, err
}

// Guards against a shutdown that drops a request whose first byte was read while the
// handler of the request before it, which has been answered, had not returned yet.
func TestStopAnswersRequestThatWasReadAhead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	read, release := make(chan int, 16), make(chan struct{})
	idle := make(chan struct{})
	var first sync.Once
	stop := start("test", &watchedListener{Listener: inner, read: read}, http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
		rsp.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(rsp, "whole")
		_ = http.NewResponseController(rsp).Flush()
		first.Do(func() {
			<-release
			time.AfterFunc(50*time.Millisecond, func() { close(idle) })
		})
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
	request := "GET / HTTP/1.1\r\nHost: test\r\n\r\n"
	_, _ = io.WriteString(cli, request)
	if got, err := get(); got != "whole" {
		t.Fatalf("first answer %q, %v", got, err)
	}
	<-read
	_, _ = io.WriteString(cli, request[:1])
	if num := <-read; num != 1 {
		t.Fatalf("%d bytes read ahead", num)
	}
	close(release)
	<-idle
	ended := make(chan error, 1)
	go func() { ended <- stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(cli, request[1:])
	if got, err := get(); got != "whole" {
		t.Errorf("answer to the request that was read ahead: %q, %v", got, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
