package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a shutdown that drops a request of which only a part was read: the
// rest of its headers and its body may still be on their way.
func TestStopAwaitsTheRestOfARequest(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nwhole"
	for _, part := range []int{1, 20, len(request) - 5, len(request) - 2} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		read := make(chan int, 16)
		stop := start("test", &watchedListener{Listener: inner, read: read}, http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(rsp, req.Body)
		}), hclog.NewNullLogger())
		cli, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(cli, request[:part])
		<-read
		ended := make(chan error, 1)
		go func() { ended <- stop(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(cli, request[part:len(request)-2])
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(cli, request[len(request)-2:])
		if rsp, err := http.ReadResponse(bufio.NewReader(cli), nil); err != nil {
			t.Errorf("%d bytes before the shutdown: %v", part, err)
		} else if buf, err := io.ReadAll(rsp.Body); string(buf) != "whole" {
			t.Errorf("%d bytes before the shutdown: answer %q, %v", part, buf, err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_ = cli.Close()
	}
}
