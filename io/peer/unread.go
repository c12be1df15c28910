package peer

import (
	"encoding/binary"
	"sync"
	"time"
)

// Layout of a yamux header: version, type, flags, stream and length.
const (
	muxHeaderSize = 12
	muxTypeAt     = 1
	muxFlagsAt    = 2
	muxStreamAt   = 4
	muxLengthAt   = 8
	// muxData is the type of frames with a payload.
	muxData byte = 0
	// muxSyn opens a stream, muxFin and muxRst end its incoming direction.
	muxSyn, muxFin, muxRst uint16 = 1, 4, 8
)

// closedAge is the age from which on yamux has dropped a stream that this VM has closed.
const closedAge = streamTimeout + time.Second

// unread counts what yamux holds of the incoming streams of a session: what has been announced
// by a header and has not been read, because yamux takes the memory of a frame when it reads
// its header. The zero value has no streams, and nil counts nothing. The goroutine
// that reads the connection and those of the streams use it, so a mutex guards it.
type unread struct {
	// mu guards all fields.
	mu      sync.Mutex
	streams map[uint32]*unreadStream
	// closed has the streams that this VM has closed before the other, oldest first.
	closed []closedStream
	// total is the sum of all streams, in bytes.
	total int64
	// onEmpty is called without the mutex when the total has become 0. It does not change
	// and may be nil.
	onEmpty func()
	// head is the part of the next header that has arrived.
	head []byte
	// payload is the number of bytes that are missing of the present frame.
	payload uint32
}

// unreadStream is the state of one stream.
type unreadStream struct {
	// bytes is what has been announced and has not been read.
	bytes int64
	// ended means that the other VM, and closed that this VM, has ended the stream.
	ended, closed bool
}

// closedStream is a stream that this VM has closed.
type closedStream struct {
	id uint32
	at time.Time
}

// arrived counts bytes that were read from the connection, and returns the total.
func (un *unread) arrived(now time.Time, buf []byte) int64 {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.removeExpired(now)
	for len(buf) > 0 {
		if un.payload > 0 {
			num := min(uint32(len(buf)), un.payload)
			un.payload -= num
			buf = buf[num:]
			continue
		}
		num := min(len(buf), muxHeaderSize-len(un.head))
		un.head, buf = append(un.head, buf[:num]...), buf[num:]
		if len(un.head) == muxHeaderSize {
			un.handleHeader(un.head)
			un.head = un.head[:0]
		}
	}
	return un.total
}

// handleHeader handles a complete header. The caller holds the mutex.
func (un *unread) handleHeader(head []byte) {
	id, flags := binary.BigEndian.Uint32(head[muxStreamAt:]), binary.BigEndian.Uint16(head[muxFlagsAt:])
	if flags&muxSyn != 0 {
		un.add(id)
	}
	if str := un.streams[id]; str != nil && flags&(muxFin|muxRst) != 0 {
		str.ended = true
		un.removeEnded(id)
	}
	if head[muxTypeAt] != muxData {
		return
	}
	un.payload = binary.BigEndian.Uint32(head[muxLengthAt:])
	if str := un.streams[id]; str != nil {
		str.bytes += int64(un.payload)
		un.total += int64(un.payload)
	}
}

// add adds a stream. The caller holds the mutex.
func (un *unread) add(id uint32) {
	if un.streams == nil {
		un.streams = map[uint32]*unreadStream{}
	}
	if un.streams[id] == nil {
		un.streams[id] = &unreadStream{}
	}
}

// removeEnded removes a stream if both sides have ended it. The caller holds the mutex.
func (un *unread) removeEnded(id uint32) {
	if str := un.streams[id]; str.ended && str.closed {
		un.total -= str.bytes
		delete(un.streams, id)
	}
}

// removeExpired removes the streams that yamux has dropped. The caller holds the mutex.
func (un *unread) removeExpired(now time.Time) {
	for len(un.closed) > 0 && now.Sub(un.closed[0].at) > closedAge {
		if str := un.streams[un.closed[0].id]; str != nil {
			str.ended = true
			un.removeEnded(un.closed[0].id)
		}
		un.closed = un.closed[1:]
	}
}

// open counts a stream that this VM has opened.
func (un *unread) open(id uint32) {
	if un == nil {
		return
	}
	un.mu.Lock()
	defer un.mu.Unlock()
	un.add(id)
}

// read counts bytes that were read from a stream.
func (un *unread) read(id uint32, num int) {
	if un == nil || num == 0 {
		return
	}
	if un.subtract(id, int64(num)) && un.onEmpty != nil {
		un.onEmpty()
	}
}

// subtract subtracts bytes from those of a stream. It returns true if nothing is left of any
// stream.
func (un *unread) subtract(id uint32, num int64) bool {
	un.mu.Lock()
	defer un.mu.Unlock()
	str := un.streams[id]
	if str == nil {
		return false
	}
	str.bytes -= num
	un.total -= num
	return un.total == 0
}

// close counts a stream that this VM closes. What has arrived of it is held until the other
// VM has ended it too, or for closedAge.
func (un *unread) close(now time.Time, id uint32) {
	if un == nil {
		return
	}
	un.mu.Lock()
	defer un.mu.Unlock()
	str := un.streams[id]
	if str == nil || str.closed {
		return
	}
	str.closed = true
	un.removeEnded(id)
	if un.streams[id] != nil {
		un.closed = append(un.closed, closedStream{id: id, at: now})
	}
}
