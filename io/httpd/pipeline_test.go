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

// Guards against a request that is aborted by a shutdown because it was read together with
// the one before it.
func TestStopCompletesRequestReadWithTheOneBefore(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, stopping := make(chan struct{}), make(chan struct{})
	stop := start("test", lis, http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/2" {
			close(entered)
			<-stopping
			select {
			case <-req.Context().Done():
				rsp.WriteHeader(http.StatusGatewayTimeout)
			case <-time.After(300 * time.Millisecond):
			}
		}
	}), hclog.NewNullLogger())
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	_, _ = io.WriteString(con, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	go func() { time.Sleep(50 * time.Millisecond); close(stopping) }()
	stopped := make(chan error, 1)
	go func() { stopped <- stop(context.Background()) }()
	rdr := bufio.NewReader(con)
	for range 2 {
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode != http.StatusOK {
			t.Errorf("status %d", rsp.StatusCode)
		}
		_ = rsp.Body.Close()
	}
	<-stopped
}
