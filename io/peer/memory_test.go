package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/buffer"
	"guavarail/core/model"
	"guavarail/io/limit"
)

// Guards against a request that a VM without memory for it handles in part, or whose
// sender is not told that it was not handled.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	handled := make(chan struct{}, 1)
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
		handled <- struct{}{}
		return req, nil
	})
	bud := limit.New(limit.Config{MemoryMB: 96})
	server, stop, err := New(Config{Self: "server", Listen: "127.0.0.1:0", Mux: mux, AcceptUnlisted: true, Budget: bud})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, stopClient, err := New(Config{Self: "client", Listen: "127.0.0.1:0", Peers: map[model.VMID]string{"server": server.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	defer stopClient()
	send := func(size int) error {
		_, err := client.Request(t.Context(), "server", wrapperspb.Bytes(make([]byte, size)))
		return err
	}
	eventually(t, "link", func() bool { return send(1) == nil })
	<-handled
	if err := send(1 << 20); err != nil {
		t.Fatal(err)
	}
	<-handled
	// A frame of 7 MiB takes 15 MiB, half of what the links of this VM may hold is 16 MiB.
	lease := bud.Enter(buffer.VMs, func() { t.Error("a request that is being handled was ended") })
	if err := lease.Reserve(t.Context(), 4<<20); err != nil || !lease.Serve() {
		t.Fatal("no memory for the request in progress")
	}
	var full *NoMemoryError
	if err := send(7 << 20); !errors.As(err, &full) {
		t.Errorf("error %v, want a NoMemoryError", err)
	}
	select {
	case <-handled:
		t.Error("a refused request was handled")
	default:
	}
	lease.Close()
	if err := send(7 << 20); err != nil {
		t.Errorf("after the memory was released: %v", err)
	}
}

// Guards against a frame that takes memory for what it announces instead of for what
// arrives.
func TestFrameTakesMemoryAsItArrives(t *testing.T) {
	head := []byte{0, 0x70, 0, 0}
	taken := 0
	_, _, err := readFrame(io.MultiReader(bytes.NewReader(head), bytes.NewReader(make([]byte, 100<<10))), MaxFrame, func(num int) error {
		taken += num
		return nil
	})
	if err == nil || taken > 512<<10 {
		t.Errorf("error %v, %d bytes taken for a frame of which 100 KiB arrived", err, taken)
	}
}

// muxFrame returns a frame of yamux.
func muxFrame(kind byte, flags uint16, id uint32, size int) []byte {
	buf := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(buf, id), uint32(size))
	if kind == muxData {
		buf = append(buf, make([]byte, size)...)
	}
	return buf
}

// Guards against a count of what yamux holds that drifts: with headers in parts, streams
// that both sides, one side or nobody ends, and other frames.
func TestUnreadBytesAreCounted(t *testing.T) {
	start := time.Unix(1000, 0)
	un := &unread{}
	var got int64
	feed := func(at time.Time, want int64, frames ...[]byte) {
		t.Helper()
		for _, ch := range slices.Concat(frames...) {
			got = un.arrived(at, []byte{ch})
		}
		if got != want {
			t.Fatalf("%d bytes, want %d", got, want)
		}
	}
	feed(start, 0, muxFrame(1, muxSyn, 1, 0), muxFrame(2, 0, 0, 77))
	feed(start, 300, muxFrame(muxData, 0, 1, 100), muxFrame(muxData, muxSyn, 3, 200))
	feed(start, 300, muxFrame(muxData, 0, 5, 50)) // A stream that yamux has dropped.
	un.open(2)
	feed(start, 310, muxFrame(muxData, 2, 2, 10))
	un.read(2, 10)
	un.close(start, 2)
	feed(start, 300, muxFrame(1, muxFin, 2, 0))
	un.read(1, 40)
	un.close(start, 1)
	feed(start, 270, muxFrame(muxData, 0, 1, 10))
	feed(start, 200, muxFrame(1, muxRst, 1, 0))
	un.close(start, 3)
	feed(start.Add(closedAge), 200, muxFrame(2, 0, 0, 78))
	feed(start.Add(closedAge+1), 0, muxFrame(2, 0, 0, 79))
	if len(un.streams) != 0 || len(un.closed) != 0 {
		t.Errorf("left: %v, %v", un.streams, un.closed)
	}
}
