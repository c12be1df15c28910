package group

import (
	"context"
	"errors"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// oddCommand and newerCommand are commands that pickyCodec encodes and does not decode.
const (
	oddCommand   = "odd"
	newerCommand = "newer"
)

// pickyCodec is textCodec, but that it cannot decode some commands.
type pickyCodec struct{ textCodec }

func (pickyCodec) Decode(buf []byte) (string, error) {
	switch string(buf) {
	case oddCommand:
		return "", errors.New("odd value")
	case newerCommand:
		return "", &wire.UnknownOperationError{}
	}
	return string(buf), nil
}

// startPicky starts replicas with pickyCodec on disks in dir.
func startPicky(t *testing.T, dir string, vms ...model.VMID) ([]testRef, func()) {
	t.Helper()
	net := &network{}
	var refs []testRef
	var stops []func()
	for _, vm := range vms {
		rep := startOnDiskWith(t, net, dir, nil, pickyCodec{}, vm, vms...)
		refs, stops = append(refs, rep.ref), append(stops, rep.stop)
	}
	return refs, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// Guards against an entry of the log that cannot be decoded and halts all replicas, also
// after each restart.
func TestEntryThatCannotBeDecodedIsSkipped(t *testing.T) {
	ctx := testContext(t)
	dir, vms := t.TempDir(), []model.VMID{"a", "b", "c"}
	refs, stop := startPicky(t, dir, vms...)
	lea := waitForLeader(ctx, t, refs...)
	var cde *CodecError
	if _, err := lea.Propose(ctx, oddCommand); !errors.As(err, &cde) {
		t.Errorf("error %v, want a CodecError", err)
	}
	if got, err := lea.Propose(ctx, "1"); got != 1 || err != nil {
		t.Errorf("the next command: %d, %v", got, err)
	}
	stop()
	refs, stop = startPicky(t, dir, vms...)
	defer stop()
	if got, err := waitForLeader(ctx, t, refs...).Propose(ctx, "2"); got != 2 || err != nil {
		t.Errorf("the next command after a restart: %d, %v", got, err)
	}
}

// Guards against a replica that goes on without an operation that replicas of a later
// version apply.
func TestUnknownOperationHaltsTheReplica(t *testing.T) {
	ctx := testContext(t)
	refs, stop := startPicky(t, t.TempDir(), "a")
	defer stop()
	lea := waitForLeader(ctx, t, refs...)
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := lea.Propose(short, newerCommand); err == nil {
		t.Error("the command is acknowledged")
	}
	var cde *CodecError
	for !errors.As(lea.Err(ctx), &cde) {
		if ctx.Err() != nil {
			t.Fatalf("the replica has not halted: %v", lea.Err(t.Context()))
		}
	}
}
