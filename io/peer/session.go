package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
)

const (
	// pingGap and pingTimeout bound the time until a link that carries traffic
	// and is dead, or up one way only, is closed.
	pingGap     = 500 * time.Millisecond
	pingTimeout = 1500 * time.Millisecond
	// idlePing is rare because its cost grows with the number of VMs.
	idlePing = 15 * time.Second
	// streamTimeout bounds the opening and closing of one stream.
	streamTimeout = 10 * time.Second
	// sessionGoroutines is the number of goroutines that a session owns besides
	// one for each request.
	sessionGoroutines = 3
)

// session is one yamux session and the goroutines that serve it. It is owned
// by the actor of its link.
type session struct {
	hub   *Hub
	peer  model.VMID
	ymx   *yamux.Session
	post  func(msg any)
	since time.Time
	// dialled is true when this VM dialled the connection.
	dialled bool
	ctx     context.Context
	cancel  context.CancelFunc
	// batches has room for the one batch that may be under way.
	batches chan []frame
	// poke asks for a ping.
	poke chan struct{}
	// asking holds a value for each request to the other VM under way.
	asking chan struct{}
	// serving holds a value for each stream of the other VM under way.
	serving chan struct{}
	// waiting is the number of requests to the other VM without an answer.
	waiting atomic.Int64
	// ended receives a value from each of sessionGoroutines.
	ended chan struct{}
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	// The session pings only when there is traffic; see keepAlive.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = streamTimeout
	cfg.StreamCloseTimeout = streamTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// startSession starts the goroutines of a session.
func startSession(li *link, ymx *yamux.Session, dialled bool) *session {
	ses := &session{
		hub: li.hub, peer: li.peer, ymx: ymx, post: li.post, since: time.Now(), dialled: dialled,
		batches: make(chan []frame, 1), poke: make(chan struct{}, 1),
		asking: make(chan struct{}, maxExchanges), serving: make(chan struct{}, maxServing),
		ended: make(chan struct{}, sessionGoroutines),
	}
	ses.ctx, ses.cancel = context.WithCancel(context.Background())
	go ses.run(ses.ctx, ses.write)
	go ses.run(ses.ctx, ses.serve)
	go ses.run(ses.ctx, ses.keepAlive)
	return ses
}

// run reports the failure of one goroutine and signals its end.
func (ses *session) run(ctx context.Context, loop func(ctx context.Context) error) {
	defer func() { ses.ended <- struct{}{} }()
	if err := loop(ctx); err != nil && ctx.Err() == nil {
		ses.post(broken{ses: ses, cause: err})
	}
}

// close ends the session and waits for its goroutines.
func (ses *session) close() {
	ses.cancel()
	_ = ses.ymx.Close()
	for range sessionGoroutines {
		<-ses.ended
	}
	fill(ses.asking)
}

// write sends batches on the ordered stream.
func (ses *session) write(ctx context.Context) error {
	var str *yamux.Stream
	for {
		var bat []frame
		select {
		case <-ctx.Done():
			return nil
		case bat = <-ses.batches:
		}
		var buf []byte
		if str == nil {
			opened, err := ses.ymx.OpenStream()
			if err != nil {
				return errors.Trace(err)
			}
			str, buf = opened, []byte{orderedStream}
		}
		for _, fr := range bat {
			buf = append(buf, fr.buf...)
			ses.hub.vars.sent(fr)
		}
		ses.pokePing()
		if _, err := str.Write(buf); err != nil {
			return errors.Trace(err)
		}
		ses.post(wrote{ses: ses})
	}
}

// pokePing asks for a ping soon.
func (ses *session) pokePing() {
	select {
	case ses.poke <- struct{}{}:
	default:
	}
}

// keepAlive pings the other VM while there is traffic, at most once in
// pingGap, and rarely when there is none. A session that is idle costs next to
// nothing, so that the control traffic of a VM does not grow with the number
// of VMs that it is linked to.
func (ses *session) keepAlive(ctx context.Context) error {
	idle := time.NewTimer(idlePing)
	defer idle.Stop()
	for {
		if ses.waiting.Load() == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-ses.poke:
			case <-idle.C:
			}
		}
		if _, err := ses.ymx.Ping(); err != nil {
			if ctx.Err() == nil {
				ses.hub.vars.deadLinks.Add(1)
			}
			return errors.Trace(err)
		}
		idle.Reset(idlePing)
		host.Pause(ctx, pingGap)
		if ctx.Err() != nil {
			return nil
		}
	}
}
