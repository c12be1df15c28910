package peer

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/io/wire"
)

const (
	// maxExchanges bounds the requests to one VM that wait for an answer.
	maxExchanges = 256
	// maxServing bounds the streams of one VM that are served. It leaves room
	// for the ordered stream and for requests that the other VM gave up.
	maxServing = 2*maxExchanges + 1

	// The first byte of a stream. A request has its time-out in milliseconds in
	// the next four.
	orderedStream byte = 'o'
	requestStream byte = 'r'
	timeoutSize        = 4
)

// answered is the outcome of an exchange.
type answered struct {
	env *wire.Envelope
	err error
}

// exchange is one request to another VM.
type exchange struct {
	to model.VMID
	fr frame
	// ctx is that of the caller and has a deadline.
	ctx context.Context
	// reply has room for the one outcome, so that the sender never waits.
	reply chan answered
}

func (ask *exchange) fail(err error) { ask.reply <- answered{err: err} }

// run sends the request on a stream of its own and signals its end by taking
// a value from ses.asking.
func (ask *exchange) run(ctx context.Context, ses *session) {
	defer func() { <-ses.asking }()
	ses.waiting.Add(1)
	defer ses.waiting.Add(-1)
	ses.pokePing()
	env, err := ask.roundTrip(ses)
	switch {
	case err == nil:
		ask.reply <- answered{env: env}
	case ask.ctx.Err() != nil && ctx.Err() == nil:
		ask.fail(&TimeoutError{vm: ask.to, kind: ask.fr.kind, cause: err})
	default:
		ask.fail(&UnreachableError{vm: ask.to, cause: err})
	}
}

func (ask *exchange) roundTrip(ses *session) (*wire.Envelope, error) {
	end, _ := ask.ctx.Deadline()
	left := time.Until(end)
	if left <= 0 {
		return nil, errors.Trace(context.DeadlineExceeded)
	}
	str, err := ses.ymx.OpenStream()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = str.Close() }()
	defer context.AfterFunc(ask.ctx, func() { _ = str.SetDeadline(time.Now()) })()
	buf := make([]byte, 0, 1+timeoutSize+len(ask.fr.buf))
	buf = binary.BigEndian.AppendUint32(append(buf, requestStream), uint32(left.Milliseconds()))
	ses.hub.vars.sent(ask.fr)
	if _, err := str.Write(append(buf, ask.fr.buf...)); err != nil {
		return nil, errors.Trace(err)
	}
	return ses.read(str)
}

// read reads one frame and refuses those that are not meant for this VM.
func (ses *session) read(str *yamux.Stream) (*wire.Envelope, error) {
	env, size, err := readFrame(str, MaxFrame)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ses.hub.vars.received(env.GetKind(), size)
	if env.GetFrom() != string(ses.peer) || env.GetTo() != string(ses.hub.cfg.Self) {
		return nil, errors.Trace(&ProtocolError{text: "frame from " + env.GetFrom() + " to " + env.GetTo()})
	}
	ses.hub.cfg.Clock.Observe(env.GetClock())
	return env, nil
}

// serve accepts the streams of the other VM.
func (ses *session) serve(ctx context.Context) error {
	defer fill(ses.serving)
	for {
		str, err := ses.ymx.AcceptStreamWithContext(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		select {
		case ses.serving <- struct{}{}:
			go ses.serveStream(ctx, str)
		default:
			_ = str.Close()
		}
	}
}

// serveStream serves one stream and signals its end by taking a value from
// ses.serving. A request that fails, or that its caller gave up half way, ends
// its own stream only; without the ordered stream the session is of no use.
func (ses *session) serveStream(ctx context.Context, str *yamux.Stream) {
	defer func() { <-ses.serving }()
	defer func() { _ = str.Close() }()
	var kind [1]byte
	if _, err := io.ReadFull(str, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case orderedStream:
		if err := ses.serveOrdered(ctx, str); err != nil && ctx.Err() == nil {
			ses.post(broken{ses: ses, cause: err})
		}
	case requestStream:
		if err := ses.serveRequest(ctx, str); err != nil && ctx.Err() == nil {
			ses.hub.vars.refusedFrames.Add(1)
			ses.hub.cfg.Log.Debug("request refused", "from", ses.peer, "error", err)
		}
	default:
		ses.post(broken{ses: ses, cause: &ProtocolError{text: "unknown kind of stream"}})
	}
}

// serveOrdered hands the ordered messages to their handlers.
func (ses *session) serveOrdered(ctx context.Context, str *yamux.Stream) error {
	for {
		env, err := ses.read(str)
		if err != nil {
			return errors.Trace(err)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := ses.hub.cfg.Mux.deliver(ses.hub.cfg.Self, env); err != nil {
			ses.hub.vars.refusedFrames.Add(1)
			ses.hub.cfg.Log.Warn("message refused", "from", ses.peer, "kind", env.GetKind(), "error", err)
		}
	}
}

// serveRequest answers one request.
func (ses *session) serveRequest(ctx context.Context, str *yamux.Stream) error {
	var head [timeoutSize]byte
	if _, err := io.ReadFull(str, head[:]); err != nil {
		return errors.Trace(err)
	}
	left := time.Duration(binary.BigEndian.Uint32(head[:])) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	que, err := ses.read(str)
	if err != nil {
		return errors.Trace(err)
	}
	fr, err := newFrame(ses.reply(ctx, que))
	if err != nil {
		fr, err = newFrame(ses.seal(&wire.Envelope{Failure: toFailure(err)}))
	}
	if err != nil {
		return errors.Trace(err)
	}
	_ = str.SetWriteDeadline(time.Now().Add(streamTimeout))
	ses.hub.vars.sent(fr)
	ses.pokePing()
	// The caller may have given up; a broken session is reported by its ping.
	_, _ = str.Write(fr.buf)
	return nil
}

// reply runs the answerer and returns the envelope of its answer.
func (ses *session) reply(ctx context.Context, que *wire.Envelope) *wire.Envelope {
	ans, err := ses.hub.cfg.Mux.answer(ctx, ses.hub.cfg.Self, que)
	if err != nil {
		return ses.seal(&wire.Envelope{Failure: toFailure(err)})
	}
	body, err := proto.Marshal(ans)
	if err != nil {
		return ses.seal(&wire.Envelope{Failure: toFailure(err)})
	}
	return ses.seal(&wire.Envelope{Kind: kindOf(ans), Body: body})
}

// seal adds the addresses and the clock.
func (ses *session) seal(env *wire.Envelope) *wire.Envelope {
	env.From, env.To, env.Clock = string(ses.hub.cfg.Self), string(ses.peer), ses.hub.cfg.Clock.Stamp()
	return env
}
