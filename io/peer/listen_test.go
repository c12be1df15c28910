package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
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
