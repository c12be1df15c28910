package httpd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

// limitServer is a server whose handler answers with the size of the body.
type limitServer struct {
	t       *testing.T
	address string
	bounds  *Bounds
}

// startLimited starts a server with small limits.
func startLimited(t *testing.T, budget *limit.Budget, lim Limits) *limitServer {
	t.Helper()
	srv := &limitServer{t: t, address: freeAddress(t), bounds: NewBounds(buffer.Callers, budget)}
	srv.bounds.SetLimits(lim)
	stop, err := StartBounded("test", srv.address, http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		body, err := ReadBody(req)
		if err == nil {
			err = Reserve(req, len(body))
		}
		if err != nil {
			Refuse(rsp, req, err)
			return
		}
		_, _ = fmt.Fprint(rsp, len(body))
	}), srv.bounds, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop(t.Context()) })
	return srv
}

// dial opens a connection.
func (srv *limitServer) dial() net.Conn {
	srv.t.Helper()
	con, err := net.Dial("tcp", srv.address)
	if err != nil {
		srv.t.Fatal(err)
	}
	srv.t.Cleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(time.Minute))
	return con
}

// send sends text on a connection and returns the status and the body of the answer.
func (srv *limitServer) send(con net.Conn, text string) (int, string) {
	srv.t.Helper()
	go func() { _, _ = io.WriteString(con, text) }()
	return srv.answer(con)
}

// answer reads an answer; the status is 0 if the connection ends without one.
func (srv *limitServer) answer(con net.Conn) (int, string) {
	srv.t.Helper()
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0, ""
	}
	buf, _ := io.ReadAll(rsp.Body)
	return rsp.StatusCode, string(buf)
}

// post returns a request with a body.
func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunked returns a request with a body in chunks of the given size.
func chunked(size, chunk int) string {
	var out strings.Builder
	out.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < size; sent += chunk {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	}
	return out.String() + "0\r\n\r\n"
}

// Guards against a request within the limits that is refused, and one over them that is
// served or gets another status.
func TestRequestLimits(t *testing.T) {
	const maxHeader, maxBody = 8 << 10, 64 << 10
	srv := startLimited(t, limit.New(limit.Config{MemoryMB: 96, Files: 100}), Limits{MaxHeader: maxHeader, MaxBody: maxBody})
	pad := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\nX-Pad: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	for _, tc := range []struct {
		name, text string
		status     int
		body       string
	}{
		{"small body", post("abc"), 200, "3"},
		{"empty body", post(""), 200, "0"},
		{"largest body", post(strings.Repeat("x", maxBody)), 200, fmt.Sprint(maxBody)},
		{"largest chunked body", chunked(maxBody, 16), 200, fmt.Sprint(maxBody)},
		{"largest head", pad(maxHeader - 100), 200, "0"},
		{"head just over the limit", pad(maxHeader), 431, ""},
		{"head far over the limit", pad(20 * maxHeader), 431, ""},
		{"head without an end", "GET /" + strings.Repeat("x", 20*maxHeader), 431, ""},
		{"declared body over the limit", fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxBody+1), 413, ""},
		{"chunked body over the limit", chunked(maxBody+16, 16), 413, ""},
		{"one chunk over the limit", chunked(maxBody+1, maxBody+1), 413, ""},
		{"chunk extensions", strings.Replace(chunked(64, 64), "40\r\n", "40;a="+strings.Repeat("x", 1<<16)+"\r\n", 1), 400, ""},
		{"empty lines", strings.Repeat("\r\n", 1<<16), 400, "400 Bad Request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if status, body := srv.send(srv.dial(), tc.text); status != tc.status || body != tc.body {
				t.Errorf("status %d, body %q, want %d, %q", status, body, tc.status, tc.body)
			}
		})
	}
}

// Guards against limits that apply only to new connections.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	srv := startLimited(t, nil, Limits{})
	idle, busy := srv.dial(), srv.dial()
	for _, con := range []net.Conn{idle, busy} {
		if status, _ := srv.send(con, post("abc")); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	srv.bounds.SetLimits(Limits{MaxBody: 2})
	if status, _ := srv.send(busy, post("abc")); status != 413 {
		t.Errorf("status %d of a body over the new limit", status)
	}
	srv.bounds.SetLimits(Limits{IdleTimeout: 10 * time.Millisecond, HeaderTimeout: 10 * time.Millisecond})
	if status, _ := srv.answer(idle); status != 0 {
		t.Errorf("status %d on an idle connection", status)
	}
	slow := srv.dial()
	// Package http answers a request line that ends early with 400.
	if status, _ := srv.send(slow, "GET / HTT"); status != 0 && status != 400 {
		t.Errorf("status %d of a head without an end", status)
	}
}

// Guards against unfinished requests that take the memory from finished ones, and against
// a refusal that the client is not told.
func TestUnfinishedRequestsGiveWay(t *testing.T) {
	srv := startLimited(t, limit.New(limit.Config{MemoryMB: 96}), Limits{})
	var stalled []net.Conn
	for range 8 {
		con := srv.dial()
		stalled = append(stalled, con)
		if _, err := io.WriteString(con, strings.TrimSuffix(post(strings.Repeat("x", 4<<20)), "x")); err != nil {
			break
		}
	}
	for range 4 {
		if status, body := srv.send(srv.dial(), post(strings.Repeat("x", 1<<20))); status != 200 || body != fmt.Sprint(1<<20) {
			t.Errorf("status %d, body %q of a finished request", status, body)
		}
	}
	if status, _ := srv.answer(stalled[0]); status != 503 {
		t.Errorf("status %d of the unfinished request that stalls longest", status)
	}
}
