package relay

import (
	"context"
	"net"
	"sync/atomic"

	"guavarail/io/host"
)

// readBufferBytes is the size of the read buffer of each direction.
const readBufferBytes = 32 << 10

// pipe forwards one client connection to the target. The goroutine of run owns both
// sockets; it shares them with one forward goroutine for each direction, which it
// waits for.
type pipe struct {
	client *net.TCPConn
	target string
	faults [directions]*atomic.Pointer[faultState]
	cancel context.CancelFunc
	// halfCloses receives the directions to half-close. Its buffer is as large as
	// the number of directions.
	halfCloses chan Direction
	// ended is closed when the goroutine of the pipe ends.
	ended chan struct{}
}

func newPipe(client *net.TCPConn, target string, faults [directions]*atomic.Pointer[faultState]) *pipe {
	return &pipe{
		client: client, target: target, faults: faults,
		halfCloses: make(chan Direction, directions), ended: make(chan struct{}),
	}
}

// halfClose requests that one direction be closed and the other stay open. It never
// blocks: the request is dropped if halfCloses is full.
func (pip *pipe) halfClose(dir Direction) {
	select {
	case pip.halfCloses <- dir:
	default:
	}
}

// run forwards bytes until both directions have ended, one has failed, or ctx ends.
// After a failure or the end of ctx, both sockets are closed with a TCP reset. run
// calls post when it returns.
func (pip *pipe) run(ctx context.Context, post func()) {
	defer post()
	defer close(pip.ended)
	defer pip.cancel()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", pip.target)
	if err != nil {
		reset(pip.client)
		return
	}
	target, _ := conn.(*net.TCPConn)
	done := make(chan bool, directions)
	go pip.forward(ctx, done, ToTarget, pip.client, target)
	go pip.forward(ctx, done, ToClient, target, pip.client)
	// sinks has the socket that each direction writes to.
	sinks := [directions]*net.TCPConn{ToTarget: target, ToClient: pip.client}
	clean := true
	for left := directions; left > 0; {
		select {
		case <-ctx.Done():
			clean = false
		case dir := <-pip.halfCloses:
			_ = sinks[dir].CloseWrite()
			continue
		case ok := <-done:
			left--
			clean = clean && ok
		}
		if !clean {
			// The reset ends the blocked reads and writes of the forward
			// goroutines, which then send to done.
			reset(pip.client)
			reset(target)
			for ; left > 0; left-- {
				<-done
			}
		}
	}
	_ = pip.client.Close()
	_ = target.Close()
}

// forward copies one direction until its end, and then sends to done whether that
// direction was closed in order. It sends false on an error, when ctx has ended, and
// at the first read without the fault Drop after bytes were dropped. A direction that
// ends while Drop is set is closed in order.
func (pip *pipe) forward(ctx context.Context, done chan<- bool, dir Direction, src, dst *net.TCPConn) {
	buf := make([]byte, readBufferBytes)
	var dropped bool
	for {
		num, err := src.Read(buf)
		fault := pip.awaitUnstalled(ctx, dir)
		switch {
		case ctx.Err() != nil, dropped && !fault.Drop:
			done <- false
			return
		case fault.Drop:
			dropped = dropped || num > 0
		case num > 0:
			if fault.Delay > 0 {
				host.Pause(ctx, fault.Delay)
			}
			if _, err := dst.Write(buf[:num]); err != nil {
				done <- false
				return
			}
		}
		if err != nil {
			done <- dst.CloseWrite() == nil
			return
		}
	}
}

// awaitUnstalled waits until the direction isn't stalled or ctx has ended, and
// returns the fault of the direction.
func (pip *pipe) awaitUnstalled(ctx context.Context, dir Direction) Fault {
	for {
		sta := pip.faults[dir].Load()
		if !sta.fault.Stall {
			return sta.fault
		}
		select {
		case <-ctx.Done():
			return sta.fault
		case <-sta.changed:
		}
	}
}
