package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the time that a VM that is back stays without a link.
	maxBackoff = 2 * time.Second
	// yieldDelay is the head start of the VM with the lower name, so that in
	// general only one of two VMs dials.
	yieldDelay = 300 * time.Millisecond
	// steadySession is the age from which a session ends the growth of delays.
	steadySession = 2 * time.Second
	dialTimeout   = 2 * time.Second
)

// backoff yields reconnect delays that double up to maxBackoff.
type backoff struct {
	rng  *rand.Rand
	head time.Duration
	cur  time.Duration
}

func newBackoff(seed uint64, self, peer model.VMID) backoff {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(self) + "\x00" + string(peer)))
	bac := backoff{rng: rand.New(rand.NewPCG(seed, hash.Sum64()))}
	if self > peer {
		bac.head = yieldDelay
	}
	return bac
}

// next returns the delay before the next attempt: between half and all of the
// current step, so that VMs that lost a link together do not dial together.
func (bac *backoff) next() time.Duration {
	step := bac.cur
	bac.cur = min(max(2*bac.cur, minBackoff), maxBackoff)
	if step == 0 {
		return bac.head
	}
	return bac.head + step/2 + time.Duration(bac.rng.Int64N(int64(step/2)+1))
}

// reset starts the delays from the lowest step.
func (bac *backoff) reset() { bac.cur = 0 }

// dialed is the outcome of a dial attempt; ymx is nil when it failed.
type dialed struct {
	ymx *yamux.Session
}

// dialing is one dial attempt.
type dialing struct {
	cancel context.CancelFunc
	// result receives one value when the goroutine of the attempt ends.
	result chan dialed
}

// startDial dials the VM of li after delay.
func startDial(li *link, delay time.Duration) *dialing {
	ctx, cancel := context.WithCancel(context.Background())
	dia := &dialing{cancel: cancel, result: make(chan dialed, 1)}
	go dia.run(ctx, li.hub, li.peer, li.addr, delay, li.post)
	return dia
}

// run makes the attempt, sends its outcome on dia.result and posts dialDone.
func (dia *dialing) run(ctx context.Context, hub *Hub, peer model.VMID, addr string, delay time.Duration, post func(msg any)) {
	host.Pause(ctx, delay)
	ymx, err := dial(ctx, hub, peer, addr)
	if err != nil && ctx.Err() == nil {
		hub.cfg.Log.Debug("dial failed", "peer", peer, "address", addr, "error", err)
	}
	dia.result <- dialed{ymx: ymx}
	post(dialDone{dia: dia})
}

// dial opens a session and waits until the other VM answers a ping, as the
// kernel of a stopped process still accepts connections.
func dial(ctx context.Context, hub *Hub, peer model.VMID, addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := writeHello(conn, hub, peer); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	ymx, err := yamux.Client(countedConn{Conn: conn, vars: hub.vars}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	if _, err := ymx.Ping(); err != nil {
		_ = ymx.Close()
		return nil, errors.Trace(err)
	}
	return ymx, nil
}
