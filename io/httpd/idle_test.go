package httpd

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/fake/usage"
)

const (
	// waitTime is the time for which a server waits in a test.
	waitTime = 500 * time.Millisecond
	// maxWaiting is the processor time that a VM may use for control in waitTime, which
	// is 3.2% of a core.
	maxWaiting = waitTime * 32 / 1000
)

// refusingListener fails to accept, as if the process had no free file descriptor.
type refusingListener struct{ net.Listener }

func (refusingListener) Accept() (net.Conn, error) { return nil, &temporaryError{} }

// temporaryError is an error after which http.Server accepts again.
type temporaryError struct{ net.UnknownNetworkError }

func (*temporaryError) Temporary() bool { return true }

// Guards against a server that polls while it can accept no connection, while a caller
// has ended its connection, and while it waits for the last request of a shutdown.
func TestWaitingServerDoesNotSpin(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	han := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	for _, tc := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"no connection can be accepted", func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			stop := start("test", refusingListener{Listener: lis}, han, hclog.NewNullLogger())
			t.Cleanup(func() { _ = lis.Close() })
			_ = stop
		}},
		{"the caller ended its connection", func(t *testing.T) {
			con, _ := startRequest(t, han)
			<-arrived
			_ = con.Close()
		}},
		{"a request is left at the shutdown", func(t *testing.T) {
			_, stop := startRequest(t, han)
			<-arrived
			go func() { _ = stop(context.Background()) }()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.run(t)
			time.Sleep(waitTime / 10)
			if used := usage.Of(func() { time.Sleep(waitTime) }); used > maxWaiting {
				t.Errorf("%v of processor time in %v, want at most %v", used, waitTime, maxWaiting)
			}
		})
	}
	close(release)
}

// startRequest starts a server and sends it a request on the returned connection.
func startRequest(t *testing.T, han http.Handler) (net.Conn, func(ctx context.Context) error) {
	t.Helper()
	adr := freeAddress(t)
	stop, err := Start("test", adr, han, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	con, err := net.Dial("tcp", adr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	if _, err := con.Write([]byte("GET / HTTP/1.1\r\nHost: test\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	return con, stop
}
