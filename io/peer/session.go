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
	// minPingInterval and pingTimeout bound the time until a link that carries traffic
	// is closed when it delivers in one direction only, or not at all.
	minPingInterval = 500 * time.Millisecond
	pingTimeout     = 1500 * time.Millisecond
	// idlePingInterval is long because the traffic of idle pings grows with the number
	// of VMs.
	idlePingInterval = 15 * time.Second
	// streamTimeout bounds closing a stream, writing an answer, and reading a request or,
	// once it has begun, an ordered message.
	streamTimeout = 10 * time.Second
	// sessionGoroutines is the number of goroutines of a session, without those of
	// requests and streams.
	sessionGoroutines = 3
)

// session is a multiplexed connection with its goroutines. The actor of its link owns it.
type session struct {
	hub  *Hub
	peer model.VMID
	conn *muxConn
	// post sends a message to the actor of the link.
	post     func(msg any)
	openedAt time.Time
	// dialled is true when this VM dialled the connection.
	dialled bool
	// listed is true when the address of the other VM was known at the start.
	listed bool
	// ctx ends when the link closes the session.
	ctx    context.Context
	cancel context.CancelFunc
	// batches passes batches to the writer; it has room for the one that the link may
	// send before batchWritten.
	batches chan []frame
	// pingRequests holds at most one pending request for a ping; see requestPing.
	pingRequests chan struct{}
	// requestSem holds a value for each running request to the other VM; its capacity is
	// maxRequests.
	requestSem chan struct{}
	// streamSem holds a value for each stream of the other VM that is being served; its
	// capacity is maxStreams.
	streamSem chan struct{}
	// unanswered is the number of requests that wait for an answer of the other VM.
	unanswered atomic.Int64
	// ended receives a value when one of the sessionGoroutines ends.
	ended chan struct{}
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	// keepAlive sends the pings instead of yamux, because their interval depends on the
	// traffic. yamux bounds the wait for their answers by ConnectionWriteTimeout.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = pingTimeout
	// Pings detect a VM that does not answer. yamux would shut the session down by itself
	// after this timeout, before its streams can be expired; see streamSet.
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = streamTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// startSession starts the goroutines of a session.
func startSession(li *link, mc *muxConn, dialled bool) *session {
	ses := &session{
		hub: li.hub, peer: li.peer, conn: mc, post: li.post, openedAt: time.Now(), dialled: dialled, listed: li.addr != "",
		batches: make(chan []frame, 1), pingRequests: make(chan struct{}, 1),
		requestSem: make(chan struct{}, maxRequests), streamSem: make(chan struct{}, maxStreams),
		ended: make(chan struct{}, sessionGoroutines),
	}
	ses.ctx, ses.cancel = context.WithCancel(context.Background())
	go ses.run(ses.ctx, ses.write)
	go ses.run(ses.ctx, ses.serve)
	go ses.run(ses.ctx, ses.keepAlive)
	return ses
}

// run runs one of the sessionGoroutines and posts its failure to the link.
func (ses *session) run(ctx context.Context, loop func(ctx context.Context) error) {
	defer func() { ses.ended <- struct{}{} }()
	if err := loop(ctx); err != nil && ctx.Err() == nil {
		ses.post(sessionFailed{ses: ses, cause: err})
	}
}

// close closes the session and waits for its goroutines and for the requests in both
// directions.
func (ses *session) close() {
	ses.cancel()
	ses.conn.close()
	for range sessionGoroutines {
		<-ses.ended
	}
	waitForAll(ses.requestSem)
}

// write writes each batch to the ordered stream and then posts batchWritten. It opens the
// stream for the first batch.
func (ses *session) write(ctx context.Context) error {
	var str *stream
	for {
		var bat []frame
		select {
		case <-ctx.Done():
			return nil
		case bat = <-ses.batches:
		}
		var buf []byte
		if str == nil {
			opened, err := ses.conn.open()
			if err != nil {
				return errors.Trace(err)
			}
			str, buf = opened, []byte{orderedStream}
		}
		for _, fr := range bat {
			buf = append(buf, fr.buf...)
			ses.hub.vars.sent(fr)
		}
		ses.requestPing()
		if _, err := str.Write(buf); err != nil {
			return errors.Trace(err)
		}
		ses.post(batchWritten{ses: ses})
	}
}

// requestPing makes keepAlive ping once minPingInterval has passed since the last ping.
// It does not block.
func (ses *session) requestPing() {
	select {
	case ses.pingRequests <- struct{}{}:
	default:
	}
}

// keepAlive pings the other VM while there is traffic or an unanswered request, at most
// once per minPingInterval, and otherwise once per idlePingInterval, so that the control
// traffic of a VM hardly grows with the number of its idle links. A failed ping ends the
// session.
func (ses *session) keepAlive(ctx context.Context) error {
	idle := time.NewTimer(idlePingInterval)
	defer idle.Stop()
	for {
		if ses.unanswered.Load() == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-ses.pingRequests:
			case <-idle.C:
			}
		}
		if err := ses.conn.ping(); err != nil {
			if ctx.Err() == nil {
				ses.hub.vars.deadLinks.Add(1)
			}
			return errors.Trace(err)
		}
		idle.Reset(idlePingInterval)
		host.Pause(ctx, minPingInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
}
