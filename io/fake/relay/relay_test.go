package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/host"
)

// startEchoRelay starts an echo server behind a relay and dials the relay. The
// server sends "bye" once the direction to it has been closed.
func startEchoRelay(t *testing.T) (*Relay, *net.TCPConn, *bufio.Reader) {
	t.Helper()
	sys, stopSys := host.NewSystem(hclog.NewNullLogger())
	t.Cleanup(stopSys)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_, _ = io.WriteString(conn, "bye\n")
				_ = conn.Close()
			}()
		}
	}()
	rel, stop, err := New(Config{System: sys, Listen: "127.0.0.1:0", Target: lis.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	conn := dial(t, rel)
	return rel, conn, bufio.NewReader(conn)
}

func dial(t *testing.T, rel *Relay) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", rel.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

func expectLine(t *testing.T, rd *bufio.Reader, want string) {
	t.Helper()
	if got, err := rd.ReadString('\n'); err != nil || got != want {
		t.Fatalf("read %q, %v, want %q", got, err, want)
	}
}

// Guards the faults that other tests rely on: stalled or delayed bytes must
// arrive later, and a connection must not forward any bytes in a direction after
// it has dropped some there.
func TestFaults(t *testing.T) {
	rel, conn, rd := startEchoRelay(t)
	_, _ = io.WriteString(conn, "one\n")
	expectLine(t, rd, "one\n")
	for _, fault := range []Fault{{Stall: true}, {Delay: time.Millisecond}} {
		rel.SetFault(ToClient, fault)
		_, _ = io.WriteString(conn, "two\n")
		if fault.Stall {
			rel.SetFault(ToClient, Fault{})
		}
		expectLine(t, rd, "two\n")
	}
	rel.SetFault(ToTarget, Fault{Drop: true})
	_, _ = io.WriteString(conn, "lost\n")
	rel.SetFault(ToTarget, Fault{Drop: true})
	conn2 := dial(t, rel)
	_, _ = io.WriteString(conn2, "also lost\n")
	_ = conn2.CloseWrite()
	if got, err := io.ReadAll(conn2); err != nil || string(got) != "bye\n" {
		t.Fatalf("read %q, %v, want only the final line", got, err)
	}
}

// Guards against a half-close that closes both directions.
func TestHalfClose(t *testing.T) {
	rel, conn, rd := startEchoRelay(t)
	_, _ = io.WriteString(conn, "one\n")
	expectLine(t, rd, "one\n")
	rel.HalfClose(ToTarget)
	expectLine(t, rd, "bye\n")
}

// Guards against connections that stay open while the relay is down, and against
// a relay that never comes up again.
func TestSetDown(t *testing.T) {
	rel, conn, rd := startEchoRelay(t)
	_, _ = io.WriteString(conn, "one\n")
	expectLine(t, rd, "one\n")
	rel.SetDown(true)
	if _, err := rd.ReadByte(); err == nil {
		t.Fatal("the connection is still open while the relay is down")
	}
	// The reset may arrive before Dial returns, so Dial may return an error.
	if newConn, err := net.Dial("tcp", rel.Addr()); err == nil {
		t.Cleanup(func() { _ = newConn.Close() })
		_ = newConn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(newConn, "late\n")
		if got, err := io.ReadAll(newConn); len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a new connection is relayed while the relay is down: %q, %v", got, err)
		}
	}
	rel.SetDown(false)
	again := dial(t, rel)
	_, _ = io.WriteString(again, "two\n")
	expectLine(t, bufio.NewReader(again), "two\n")
}
