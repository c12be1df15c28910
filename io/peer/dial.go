package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
)

const (
	// minBackoff is the delay before the second attempt, without jitter.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the delay between attempts, and so the time until a VM that is
	// reachable again is linked.
	maxBackoff = 2 * time.Second
	// higherNameDelay is added to each delay of the VM with the higher name, so that
	// usually only the VM with the lower name dials.
	higherNameDelay = 300 * time.Millisecond
	// backoffResetAge is the age that a session must exceed for its failure to reset the
	// backoff.
	backoffResetAge = 2 * time.Second
	// dialTimeout bounds a dial attempt, from connecting to the answer to the first ping.
	dialTimeout = 2 * time.Second
)

// backoff yields the delays of the dial attempts to one VM, which double up to
// maxBackoff.
type backoff struct {
	rng *rand.Rand
	// fixed is added to each delay: higherNameDelay or 0.
	fixed time.Duration
	// step is the delay of the next attempt without jitter and fixed; it is 0 before the
	// first attempt.
	step time.Duration
}

func newBackoff(seed uint64, self, peer model.VMID) backoff {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(self) + "\x00" + string(peer)))
	bac := backoff{rng: rand.New(rand.NewPCG(seed, hash.Sum64()))}
	if self > peer {
		bac.fixed = higherNameDelay
	}
	return bac
}

// next returns the delay before the next attempt: fixed and, except for the first
// attempt, a random time between half the step and the whole step, so that VMs that
// lost their links at the same time do not dial at the same time.
func (bac *backoff) next() time.Duration {
	step := bac.step
	bac.step = min(max(2*bac.step, minBackoff), maxBackoff)
	if step == 0 {
		return bac.fixed
	}
	return bac.fixed + step/2 + time.Duration(bac.rng.Int64N(int64(step/2)+1))
}

// reset makes next return the delay of a first attempt.
func (bac *backoff) reset() { bac.step = 0 }

// dialResult is the result of a dial attempt; conn is nil if it failed.
type dialResult struct {
	conn *muxConn
}

// dialAttempt is one attempt to open a session, run by its own goroutine.
type dialAttempt struct {
	cancel context.CancelFunc
	// result has room for the one value that the goroutine sends when it ends.
	result chan dialResult
}

// startDial dials the VM of li after delay.
func startDial(li *link, delay time.Duration) *dialAttempt {
	ctx, cancel := context.WithCancel(context.Background())
	att := &dialAttempt{cancel: cancel, result: make(chan dialResult, 1)}
	go att.run(ctx, li.hub, li.peer, li.addr, delay, li.post)
	return att
}

// run waits for delay, dials, sends the result on att.result and posts dialDone.
func (att *dialAttempt) run(ctx context.Context, hub *Hub, peer model.VMID, addr string, delay time.Duration, post func(msg any)) {
	host.Pause(ctx, delay)
	mc, err := dial(ctx, hub, peer, addr)
	if err != nil && ctx.Err() == nil {
		hub.cfg.Log.Debug("dial failed", "peer", peer, "address", addr, "error", err)
	}
	att.result <- dialResult{conn: mc}
	post(dialDone{att: att})
}

// dial opens a session and waits until the other VM answers a ping, because the
// kernel accepts connections for a suspended process too.
func dial(ctx context.Context, hub *Hub, peer model.VMID, addr string) (*muxConn, error) {
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
	mc, err := newMuxConn(conn, true, hub.vars)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := mc.ping(); err != nil {
		mc.close()
		return nil, errors.Trace(err)
	}
	return mc, nil
}
