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

// through starts an echo server of lines behind a relay and dials the relay.
func through(t *testing.T) (*Relay, *net.TCPConn, *bufio.Reader) {
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

func expect(t *testing.T, rd *bufio.Reader, want string) {
	t.Helper()
	if got, err := rd.ReadString('\n'); err != nil || got != want {
		t.Fatalf("read %q, %v, want %q", got, err, want)
	}
}

// Guards the faults that other tests rely on: bytes that are held or delayed
// arrive afterwards, and a connection that lost bytes does not go on.
func TestFaults(t *testing.T) {
	rel, conn, rd := through(t)
	_, _ = io.WriteString(conn, "one\n")
	expect(t, rd, "one\n")
	for _, fault := range []Fault{{Stall: true}, {Delay: time.Millisecond}} {
		rel.SetFault(ToClient, fault)
		_, _ = io.WriteString(conn, "two\n")
		if fault.Stall {
			rel.SetFault(ToClient, Fault{})
		}
		expect(t, rd, "two\n")
	}
	rel.SetFault(ToTarget, Fault{Drop: true})
	_, _ = io.WriteString(conn, "lost\n")
	rel.SetFault(ToTarget, Fault{Drop: true})
	conn2 := dial(t, rel)
	_, _ = io.WriteString(conn2, "also lost\n")
	_ = conn2.CloseWrite()
	if got, err := io.ReadAll(conn2); err != nil || string(got) != "bye\n" {
		t.Fatalf("read %q, %v, want the end only", got, err)
	}
}

// Guards a half-close against one that ends both directions.
func TestHalfClose(t *testing.T) {
	rel, conn, rd := through(t)
	_, _ = io.WriteString(conn, "one\n")
	expect(t, rd, "one\n")
	rel.HalfClose(ToTarget)
	expect(t, rd, "bye\n")
}

// Guards a cut against connections that stay open, and against one that does
// not end.
func TestCut(t *testing.T) {
	rel, conn, rd := through(t)
	_, _ = io.WriteString(conn, "one\n")
	expect(t, rd, "one\n")
	rel.SetDown(true)
	if _, err := rd.ReadByte(); err == nil {
		t.Fatal("the connection is open after the cut")
	}
	// The reset may arrive before the dial returns, which refuses it as well.
	if late, err := net.Dial("tcp", rel.Addr()); err == nil {
		t.Cleanup(func() { _ = late.Close() })
		_ = late.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(late, "late\n")
		if got, err := io.ReadAll(late); len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a new connection is relayed during the cut: %q, %v", got, err)
		}
	}
	rel.SetDown(false)
	again := dial(t, rel)
	_, _ = io.WriteString(again, "two\n")
	expect(t, bufio.NewReader(again), "two\n")
}
