package peer

import (
	"expvar"
	"net"

	"github.com/juju/errors"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"guavarail/core/model"
)

// published holds the counters of each hub in the process, keyed by the name of its
// VM. They are served at /debug/vars. A later hub of the same VM replaces the counters
// of an earlier one.
var published = expvar.NewMap("peer")

// Vars are the counters of one hub.
type Vars struct {
	all *expvar.Map

	// sentBytes and receivedBytes count the bytes of frames by the full protobuf name of
	// the message, which is empty for the answer to a failed request.
	sentBytes, receivedBytes *expvar.Map
	// socketSentBytes and socketReceivedBytes count the bytes on the sockets, with the
	// overhead of yamux and without that of TCP.
	socketSentBytes, socketReceivedBytes *expvar.Int

	sentFrames, receivedFrames *expvar.Int
	// droppedFrames counts ordered messages that were dropped because the VM has no link
	// or because a mailbox or the link's queue was full.
	droppedFrames *expvar.Int
	// refusedFrames counts rejected frames, sent or received: too large, malformed, of an
	// unknown kind or with an invalid Hello.
	refusedFrames *expvar.Int
	// panics counts the handlers that panicked.
	panics *expvar.Int
	// failedRequests counts requests that timed out, or that failed because the link was
	// down or had maxRequests unanswered requests.
	failedRequests *expvar.Int
	// reconnects counts the sessions opened, other than the first one of each link.
	reconnects *expvar.Int
	// deadLinks counts the sessions closed because a ping was not answered.
	deadLinks *expvar.Int
	// openLinks is the current number of links with a session.
	openLinks *expvar.Int
}

func newVars(self model.VMID) *Vars {
	va := &Vars{all: new(expvar.Map).Init()}
	mapVar := func(name string) *expvar.Map {
		val := new(expvar.Map).Init()
		va.all.Set(name, val)
		return val
	}
	intVar := func(name string) *expvar.Int {
		val := new(expvar.Int)
		va.all.Set(name, val)
		return val
	}
	va.sentBytes, va.receivedBytes = mapVar("sentBytes"), mapVar("receivedBytes")
	va.socketSentBytes, va.socketReceivedBytes = intVar("socketSentBytes"), intVar("socketReceivedBytes")
	va.sentFrames, va.receivedFrames = intVar("sentFrames"), intVar("receivedFrames")
	va.droppedFrames, va.refusedFrames, va.panics = intVar("droppedFrames"), intVar("refusedFrames"), intVar("handlerPanics")
	va.failedRequests = intVar("failedRequests")
	va.reconnects, va.deadLinks, va.openLinks = intVar("reconnects"), intVar("deadLinks"), intVar("openLinks")
	published.Set(string(self), va.all)
	return va
}

// Dropped returns the number of ordered messages that were dropped.
func (va *Vars) Dropped() int64 { return va.droppedFrames.Value() }

// Reconnects returns the number of sessions opened, other than the first one of each
// link.
func (va *Vars) Reconnects() int64 { return va.reconnects.Value() }

// DeadLinks returns the number of sessions closed because a ping was not answered.
func (va *Vars) DeadLinks() int64 { return va.deadLinks.Value() }

// OpenLinks returns the number of links with a session.
func (va *Vars) OpenLinks() int64 { return va.openLinks.Value() }

// Frames returns the number of frames sent and received.
func (va *Vars) Frames() int64 { return va.sentFrames.Value() + va.receivedFrames.Value() }

// SocketBytes returns the bytes sent and received on all sockets.
func (va *Vars) SocketBytes() (sent, received int64) {
	return va.socketSentBytes.Value(), va.socketReceivedBytes.Value()
}

func (va *Vars) sent(fr frame) {
	va.sentFrames.Add(1)
	va.sentBytes.Add(fr.kind, int64(len(fr.buf)))
}

// unknownKind is the counter of all messages whose type this program does not know: their
// names are up to the sender.
const unknownKind = "unknown"

func (va *Vars) received(kind string, size int) {
	if _, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName(kind)); err != nil {
		kind = unknownKind
	}
	va.receivedFrames.Add(1)
	va.receivedBytes.Add(kind, int64(size))
}

// countedConn adds the bytes on a socket to the counters.
type countedConn struct {
	net.Conn
	vars *Vars
}

// Read counts the bytes that were read.
func (con countedConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.vars.socketReceivedBytes.Add(int64(num))
	return num, err
}

// Write counts the bytes that were written.
func (con countedConn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	con.vars.socketSentBytes.Add(int64(num))
	return num, errors.Trace(err)
}
