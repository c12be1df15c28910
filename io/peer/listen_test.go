package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"guavarail/core/model"
)

// refusingListener fails to accept and counts the calls.
type refusingListener struct {
	net.Listener
	calls int
}

func (lis *refusingListener) Accept() (net.Conn, error) {
	lis.calls++
	return nil, syscall.EMFILE
}

// Guards against an accept loop that polls while no connection can be accepted.
func TestFailedAcceptIsRetriedWithPause(t *testing.T) {
	const retries = 4
	ctx, cancel := context.WithTimeout(context.Background(), retries*acceptRetryDelay)
	defer cancel()
	lis := &refusingListener{}
	ended := make(chan struct{})
	start := time.Now()
	go (&acceptor{lis: lis}).run(ctx, ended)
	<-ended
	if most := 1 + int(time.Since(start)/acceptRetryDelay); lis.calls > most {
		t.Errorf("%d calls of Accept, want at most %d", lis.calls, most)
	}
}

// Guards against a client that keeps other VMs out by connections without a Hello.
func TestHalfOpenConnectionsDoNotKeepOthersOut(t *testing.T) {
	server, stop, err := New(Config{Self: "server", Listen: "127.0.0.1:0", AcceptUnlisted: true})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	flooding := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		<-flooding
	}()
	go func() {
		defer close(flooding)
		for ctx.Err() == nil {
			con, err := net.Dial("tcp", server.Addr())
			if err != nil {
				continue
			}
			defer func() { _ = con.Close() }()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	time.Sleep(4 * maxHandshakes * time.Millisecond)
	client, stopClient, err := New(Config{Self: "client", Listen: "127.0.0.1:0", Peers: map[model.VMID]string{"server": server.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	defer stopClient()
	eventually(t, "link", func() bool { return client.Vars().openLinks.Value() == 1 && server.Vars().openLinks.Value() == 1 })
}
