package entry

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"guavarail/io/fake/usage"
)

const (
	// waitTime is the time for which an exchange waits in a test.
	waitTime = 500 * time.Millisecond
	// maxWaiting is the processor time that a VM may use for control in waitTime, which
	// is 3.2% of a core.
	maxWaiting = waitTime * 32 / 1000
)

// Guards against an exchange that polls a connection which has ended on one side, while
// the other side is still open.
func TestHalfEndedExchangeDoesNotSpin(t *testing.T) {
	const get, upgrade = "GET /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /orders/1 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: chat\r\n\r\n"
	for _, tc := range []struct {
		name string
		// request is what the caller sends before it ends its side if hangUp is set.
		request string
		hangUp  bool
		// response is what the backend server sends before it ends its side if end is set.
		response string
		end      bool
	}{
		{name: "caller gone before the response", request: get, hangUp: true},
		{name: "caller gone in the response", request: get, hangUp: true, response: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"},
		{name: "response cut short", request: get, response: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", end: true},
		{name: "caller gone after an upgrade", request: upgrade, hangUp: true, response: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: chat\r\n\r\n"},
		{name: "backend server gone after an upgrade", request: upgrade, response: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: chat\r\n\r\n", end: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := make(chan struct{})
			ha := newHarness(t, nil, func(wri http.ResponseWriter, _ *http.Request) {
				con, _, _ := http.NewResponseController(wri).Hijack()
				t.Cleanup(func() { _ = con.Close() })
				_, _ = con.Write([]byte(tc.response))
				if tc.end {
					_ = con.Close()
				}
				close(sent)
			})
			con, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(ha.url, "http://"), "/orders/"))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = con.Close() })
			if _, err := con.Write([]byte(tc.request)); err != nil {
				t.Fatal(err)
			}
			<-sent
			if tc.hangUp {
				_ = con.Close()
			}
			time.Sleep(waitTime / 10)
			if used := usage.Of(func() { time.Sleep(waitTime) }); used > maxWaiting {
				t.Errorf("%v of processor time in %v, want at most %v", used, waitTime, maxWaiting)
			}
		})
	}
}
