package peer

import (
	"context"
	"encoding/binary"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/io/wire"
)

const (
	// maxRequests bounds the unanswered requests to one VM.
	maxRequests = 256
	// maxStreams bounds the streams of one VM that are served at once. It leaves
	// room for the ordered stream and for requests that the other VM has abandoned.
	maxStreams = 2*maxRequests + 1

	// The first byte of a stream is its kind. The ordered stream carries the ordered
	// messages of a session in one direction. A request stream carries one request and
	// its answer; the next timeoutSize bytes are the timeout in milliseconds, big-endian.
	orderedStream byte = 'o'
	requestStream byte = 'r'
	timeoutSize        = 4

	// maxKind bounds the name of the type of a message, in bytes.
	maxKind = 256
)

// response is the result of a request; exactly one field is set.
type response struct {
	env *wire.Envelope
	err error
}

// request is a request that this VM sends to another.
type request struct {
	to model.VMID
	fr frame
	// ctx is the context of the caller; it has a deadline.
	ctx context.Context
	// reply has room for the one response, so that sending it never blocks.
	reply chan response
}

func (req *request) fail(err error) { req.reply <- response{err: err} }

// run sends the request on a stream of its own, waits for the response and then
// releases ses.requestSem, which the caller has acquired. The context is that of the
// session.
func (req *request) run(ctx context.Context, ses *session) {
	defer func() { <-ses.requestSem }()
	ses.unanswered.Add(1)
	defer ses.unanswered.Add(-1)
	ses.requestPing()
	env, err := req.roundTrip(ses)
	switch {
	case err == nil:
		req.reply <- response{env: env}
	case req.ctx.Err() != nil && ctx.Err() == nil:
		req.fail(&TimeoutError{vm: req.to, kind: req.fr.kind, cause: err})
	default:
		req.fail(&UnreachableError{vm: req.to, cause: err})
	}
}

// roundTrip opens a stream, writes the request and reads the answer. It ends when the
// caller's context ends.
func (req *request) roundTrip(ses *session) (*wire.Envelope, error) {
	end, _ := req.ctx.Deadline()
	left := time.Until(end)
	if left <= 0 {
		return nil, errors.Trace(context.DeadlineExceeded)
	}
	str, err := ses.conn.open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer str.close()
	defer context.AfterFunc(req.ctx, str.expire)()
	ses.hub.vars.sent(req.fr)
	if err := req.write(str, left); err != nil {
		return nil, errors.Trace(err)
	}
	mem := &answerMemory{budget: ses.hub.cfg.Budget, ctx: req.ctx, evict: str.expire}
	env, err := ses.read(str, mem.reserve)
	if err == nil {
		err = mem.complete(len(env.GetBody()))
	}
	if err != nil {
		mem.abandon()
		return nil, errors.Trace(err)
	}
	return env, nil
}

// write writes the request with the time that is left for it. A small one is written at
// once, a large one without a copy.
func (req *request) write(str *stream, left time.Duration) error {
	head := make([]byte, 0, 1+timeoutSize+min(len(req.fr.buf), firstBufferBytes))
	head = binary.BigEndian.AppendUint32(append(head, requestStream), uint32(left.Milliseconds()))
	if len(req.fr.buf) <= firstBufferBytes {
		_, err := str.Write(append(head, req.fr.buf...))
		return errors.Trace(err)
	}
	if _, err := str.Write(head); err != nil {
		return errors.Trace(err)
	}
	_, err := str.Write(req.fr.buf)
	return errors.Trace(err)
}

// read reads one frame and rejects it if it is not from the peer to this VM.
func (ses *session) read(str *stream, res reserveFunc) (*wire.Envelope, error) {
	env, size, err := readFrame(str, MaxFrame, res)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(env.GetKind()) > maxKind {
		return nil, errors.Trace(&ProtocolError{text: "the kind of a frame has " + strconv.Itoa(len(env.GetKind())) + " bytes"})
	}
	ses.hub.vars.received(env.GetKind(), size)
	if env.GetFrom() != string(ses.peer) || env.GetTo() != string(ses.hub.cfg.Self) {
		return nil, errors.Trace(&ProtocolError{text: "frame from " + env.GetFrom() + " to " + env.GetTo()})
	}
	ses.hub.cfg.Clock.Observe(env.GetClock())
	return env, nil
}

// serve accepts the streams of the other VM until the session ends, and then waits for
// their goroutines. Streams beyond maxStreams are closed.
func (ses *session) serve(ctx context.Context) error {
	defer waitForAll(ses.streamSem)
	for {
		str, err := ses.conn.accept(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		select {
		case ses.streamSem <- struct{}{}:
			go ses.serveStream(ctx, str)
		default:
			str.close()
		}
	}
}

// serveStream serves one stream and then releases ses.streamSem. A request that fails, or
// whose caller abandons it before it is sent completely, ends only its own stream; a
// failure of the ordered stream, or a stream of an unknown kind, ends the session.
func (ses *session) serveStream(ctx context.Context, str *stream) {
	defer func() { <-ses.streamSem }()
	defer str.close()
	var kind [1]byte
	tim := time.AfterFunc(streamTimeout, str.expire)
	_, err := io.ReadFull(str, kind[:])
	tim.Stop()
	if err != nil {
		return
	}
	switch kind[0] {
	case orderedStream:
		if err := ses.serveOrdered(ctx, str); err != nil && ctx.Err() == nil {
			ses.post(sessionFailed{ses: ses, cause: err})
		}
	case requestStream:
		if err := ses.serveRequest(ctx, str); err != nil && ctx.Err() == nil {
			ses.hub.vars.refusedFrames.Add(1)
			ses.hub.cfg.Log.Debug("incoming request dropped without an answer", "from", ses.peer, "error", err)
		}
	default:
		ses.post(sessionFailed{ses: ses, cause: &ProtocolError{text: "unknown kind of stream"}})
	}
}

// serveOrdered passes the ordered messages to their handlers, one at a time. A message
// without a handler or that cannot be decoded is dropped.
func (ses *session) serveOrdered(ctx context.Context, str *stream) error {
	for {
		env, err := ses.readOrdered(ctx, str)
		if err != nil {
			return errors.Trace(err)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := ses.hub.cfg.Mux.deliver(ses.hub.cfg.Self, env); err != nil {
			ses.hub.vars.refusedFrames.Add(1)
			ses.hub.logPanic(ses.peer, err)
			ses.logDropped(env.GetKind(), err)
		}
	}
}

// logDropped logs that an ordered message was dropped. The volume is bounded, because the
// other VM decides how many there are.
func (ses *session) logDropped(kind string, cause error) {
	if suppressed, ok := ses.hub.dropped.Allow(ses.hub.clock()); ok {
		ses.hub.cfg.Log.Warn("incoming message dropped", "from", ses.peer, "kind", kind, "error", cause, "suppressed", suppressed)
	}
}

// serveRequest answers one request; without memory for it, with a NoMemoryError.
func (ses *session) serveRequest(ctx context.Context, str *stream) error {
	var head [timeoutSize]byte
	reading := time.AfterFunc(streamTimeout, str.expire)
	defer reading.Stop()
	if _, err := io.ReadFull(str, head[:]); err != nil {
		return errors.Trace(err)
	}
	left := time.Duration(binary.BigEndian.Uint32(head[:])) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	mem := ses.newMemory(ctx, str)
	defer mem.release()
	req, err := ses.read(str, mem.reserve)
	reading.Stop()
	if err == nil {
		err = mem.decode(len(req.GetBody()))
	}
	if err == nil && !mem.lease.Serve() {
		err = &NoMemoryError{vm: ses.hub.cfg.Self}
	}
	var nme *NoMemoryError
	switch {
	case err == nil:
		ses.conn.touch()
		return ses.writeAnswer(str, ses.reply(ctx, req, mem))
	case errors.As(err, &nme):
		return ses.writeAnswer(str, ses.setHeader(&wire.Envelope{Failure: toFailure(nme)}))
	}
	return errors.Trace(err)
}

// writeAnswer writes the answer to a request, or a FrameSizeError if it does not fit in a
// frame.
func (ses *session) writeAnswer(str *stream, ans *wire.Envelope) error {
	fr, err := newFrame(ans)
	if err != nil {
		fr, err = newFrame(ses.setHeader(&wire.Envelope{Failure: toFailure(err)}))
	}
	if err != nil {
		return errors.Trace(err)
	}
	defer time.AfterFunc(streamTimeout, str.expire).Stop()
	ses.hub.vars.sent(fr)
	ses.requestPing()
	// A failed write is ignored: the caller may have abandoned the request, and a
	// broken session is detected by its pings.
	_, _ = str.Write(fr.buf)
	return nil
}

// reply runs the request handler and returns the envelope with its answer or failure. A large
// answer takes memory until mem is released.
func (ses *session) reply(ctx context.Context, req *wire.Envelope, mem *frameMemory) *wire.Envelope {
	ans, err := ses.hub.cfg.Mux.serveRequest(ctx, ses.hub.cfg.Self, req)
	if err != nil {
		ses.hub.logPanic(ses.peer, err)
		return ses.setHeader(&wire.Envelope{Failure: toFailure(err)})
	}
	var body []byte
	if err = mem.answer(proto.Size(ans)); err == nil {
		body, err = proto.Marshal(ans)
	}
	if err != nil {
		return ses.setHeader(&wire.Envelope{Failure: toFailure(err)})
	}
	return ses.setHeader(&wire.Envelope{Kind: kindOf(ans), Body: body})
}

// setHeader sets the sender, the receiver and the clock of env and returns env.
func (ses *session) setHeader(env *wire.Envelope) *wire.Envelope {
	env.From, env.To, env.Clock = string(ses.hub.cfg.Self), string(ses.peer), ses.hub.cfg.Clock.Stamp()
	return env
}
