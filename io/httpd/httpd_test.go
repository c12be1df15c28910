package httpd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
