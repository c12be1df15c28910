package relay

import (
	"context"
	"net"
	"sync/atomic"

	"guavarail/io/host"
)

const chunkSize = 32 << 10

// pipe is one connection and its continuation to the target. Its goroutine
// owns both sockets.
type pipe struct {
	dialer   *net.TCPConn
	target   string
	settings [directions]*atomic.Pointer[setting]
	cancel   context.CancelFunc
	// closing asks for a half-close; it has room for one of each direction.
	closing chan Direction
	// ended is closed when the goroutine of the pipe ends.
	ended chan struct{}
}

func newPipe(dialer *net.TCPConn, target string, settings [directions]*atomic.Pointer[setting]) *pipe {
	return &pipe{
		dialer: dialer, target: target, settings: settings,
		closing: make(chan Direction, directions), ended: make(chan struct{}),
	}
}

// halfClose asks for a half-close. Further ones of a pipe that is busy are not
// needed.
func (pip *pipe) halfClose(dir Direction) {
	select {
	case pip.closing <- dir:
	default:
	}
}

// run relays until both directions have ended, one has failed, or ctx ends.
func (pip *pipe) run(ctx context.Context, post func()) {
	defer post()
	defer close(pip.ended)
	defer pip.cancel()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", pip.target)
	if err != nil {
		reset(pip.dialer)
		return
	}
	target, _ := conn.(*net.TCPConn)
	done := make(chan bool, directions)
	go pip.pump(ctx, done, ToTarget, pip.dialer, target)
	go pip.pump(ctx, done, ToClient, target, pip.dialer)
	sinks := [directions]*net.TCPConn{ToTarget: target, ToClient: pip.dialer}
	clean := true
	for left := directions; left > 0; {
		select {
		case <-ctx.Done():
			clean = false
		case dir := <-pip.closing:
			_ = sinks[dir].CloseWrite()
			continue
		case ok := <-done:
			left--
			clean = clean && ok
		}
		if !clean {
			// The sockets wake the pumps, which then signal their end.
			reset(pip.dialer)
			reset(target)
			for ; left > 0; left-- {
				<-done
			}
		}
	}
	_ = pip.dialer.Close()
	_ = target.Close()
}

// pump copies one direction and signals its end with whether it was regular.
func (pip *pipe) pump(ctx context.Context, done chan<- bool, dir Direction, src, dst *net.TCPConn) {
	buf := make([]byte, chunkSize)
	var lossy bool
	for {
		num, err := src.Read(buf)
		fault := pip.await(ctx, dir)
		switch {
		case ctx.Err() != nil, lossy && !fault.Drop:
			done <- false
			return
		case fault.Drop:
			lossy = lossy || num > 0
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

// await waits while the direction is held and returns its fault.
func (pip *pipe) await(ctx context.Context, dir Direction) Fault {
	for {
		set := pip.settings[dir].Load()
		if !set.fault.Stall {
			return set.fault
		}
		select {
		case <-ctx.Done():
			return set.fault
		case <-set.changed:
		}
	}
}
