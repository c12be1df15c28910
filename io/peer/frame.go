package peer

import (
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/io/wire"
)

// MaxFrame bounds the size of a frame in bytes, without its length field.
const MaxFrame = 8 << 20

// lengthSize is the size of the big-endian length field before each frame.
const lengthSize = 4

// frame is an encoded envelope, preceded by its length field. An envelope is a message
// with its type, sender, receiver and clock value, or a failure in place of the message.
type frame struct {
	// kind is the full protobuf name of the message in the envelope.
	kind string
	buf  []byte
}

// newFrame encodes env. It returns a FrameSizeError if env is larger than MaxFrame.
func newFrame(env *wire.Envelope) (frame, error) {
	size := proto.Size(env)
	if size > MaxFrame {
		return frame{}, &FrameSizeError{size: size}
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+size), uint32(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, env)
	if err != nil {
		return frame{}, errors.Annotatef(err, "encode %s", env.GetKind())
	}
	return frame{kind: env.GetKind(), buf: buf}, nil
}

// firstBufferBytes is the size of the buffer into which a frame is read first.
const firstBufferBytes = 16 << 10

// reserveFunc reserves memory for a buffer of a frame that is being read.
type reserveFunc func(bytes int) error

// noReserve is the reserveFunc of frames that are bounded otherwise.
func noReserve(int) error { return nil }

// readFrame reads one envelope of at most limit bytes; a larger one is a FrameSizeError.
// Memory is taken as the frame arrives; if it is refused, the rest of the frame is read
// and dropped. The size that it returns includes the length field.
func readFrame(rd io.Reader, limit int, res reserveFunc) (*wire.Envelope, int, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return nil, 0, errors.Trace(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if int(size) > limit {
		return nil, 0, &FrameSizeError{size: int(size)}
	}
	buf, err := readGrowing(rd, int(size), res)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	env := &wire.Envelope{}
	if err := proto.Unmarshal(buf, env); err != nil {
		return nil, 0, errors.Annotate(err, "decode envelope")
	}
	return env, lengthSize + len(buf), nil
}

// readGrowing reads size bytes into a buffer that grows with what arrives. Each buffer is
// reserved as a whole; what was reserved for the smaller ones covers the decoded message.
func readGrowing(rd io.Reader, size int, res reserveFunc) ([]byte, error) {
	var buf []byte
	for next := min(size, firstBufferBytes); len(buf) < size; next = min(2*next, size) {
		read := len(buf)
		if err := res(next); err != nil {
			if _, failed := io.CopyN(io.Discard, rd, int64(size-read)); failed != nil {
				return nil, errors.Trace(failed)
			}
			return nil, errors.Trace(err)
		}
		buf = append(make([]byte, 0, next), buf...)[:next]
		if _, err := io.ReadFull(rd, buf[read:]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return buf, nil
}
