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

// readFrame reads one envelope of at most limit bytes; a larger one is a FrameSizeError.
// The size that it returns includes the length field.
func readFrame(rd io.Reader, limit int) (*wire.Envelope, int, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return nil, 0, errors.Trace(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if int(size) > limit {
		return nil, 0, &FrameSizeError{size: int(size)}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(rd, buf); err != nil {
		return nil, 0, errors.Trace(err)
	}
	env := &wire.Envelope{}
	if err := proto.Unmarshal(buf, env); err != nil {
		return nil, 0, errors.Annotate(err, "decode envelope")
	}
	return env, lengthSize + len(buf), nil
}
