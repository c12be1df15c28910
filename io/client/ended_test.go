package client

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
)

// listenAndHangUp closes each connection as soon as it is accepted and counts it.
func listenAndHangUp(t *testing.T, count *atomic.Int64) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			_ = con.Close()
		}
	}()
	return lis.Addr().String()
}

// Guards against a client that goes on connecting to VMs that end its connections: it
// connects once for each address and round.
func TestEndedConnectionsAreNotRetriedWithoutBound(t *testing.T) {
	var count atomic.Int64
	const rounds = 3
	cl := newClient(t, Config{Addresses: []string{listenAndHangUp(t, &count), listenAndHangUp(t, &count)}, Rounds: rounds})
	if _, err := cl.SwitchPreset(context.Background(), "default", switchBody("c1", 1)); err == nil {
		t.Error("a command without an answer succeeded")
	}
	if got, most := count.Load(), int64(2*rounds); got > most {
		t.Errorf("%d connections, want at most %d", got, most)
	}
}
