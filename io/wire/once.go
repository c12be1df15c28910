package wire

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/once"
)

// OnceCommands is the codec of the commands on the claims of idempotency keys.
type OnceCommands struct{}

var _ Codec[once.Command] = OnceCommands{}

// Encode implements Codec.
func (OnceCommands) Encode(co once.Command) ([]byte, error) {
	buf, err := proto.Marshal(OnceCommandToProto(co))
	return buf, errors.Trace(err)
}

// Decode implements Codec.
func (OnceCommands) Decode(buf []byte) (once.Command, error) {
	var msg OnceCommand
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return once.Command{}, errors.Trace(err)
	}
	return OnceCommandFromProto(&msg), nil
}

// OnceCommandToProto returns the message for a command on the claim of a key.
func OnceCommandToProto(co once.Command) *OnceCommand {
	return &OnceCommand{
		Op: uint32(co.Op()), Key: co.Key(), Owner: co.Owner(), State: uint32(co.State()),
		At: int64(co.At()), Bound: int64(co.MaxRunTime()),
	}
}

// OnceCommandFromProto returns the command that msg encodes.
func OnceCommandFromProto(msg *OnceCommand) once.Command {
	return once.NewCommand(once.Op(msg.GetOp()), msg.GetKey(), msg.GetOwner(), once.State(msg.GetState()),
		time.Duration(msg.GetAt()), time.Duration(msg.GetBound()))
}

// OnceSnapshots is the codec of the snapshots of the claims of idempotency keys.
type OnceSnapshots struct{}

var _ Codec[once.Snapshot] = OnceSnapshots{}

// Encode implements Codec.
func (OnceSnapshots) Encode(sn once.Snapshot) ([]byte, error) {
	msg := &OnceSnapshot{Clock: int64(sn.Clock())}
	for _, re := range sn.Records() {
		msg.Records = append(msg.Records, &OnceRecord{
			Key: re.Key(), Owner: re.Owner(), State: uint32(re.State()), At: int64(re.At()), Bound: int64(re.MaxRunTime()),
		})
	}
	buf, err := proto.Marshal(msg)
	return buf, errors.Trace(err)
}

// Decode implements Codec.
func (OnceSnapshots) Decode(buf []byte) (once.Snapshot, error) {
	var msg OnceSnapshot
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return once.Snapshot{}, errors.Trace(err)
	}
	res := make([]once.Record, 0, len(msg.GetRecords()))
	for _, re := range msg.GetRecords() {
		res = append(res, once.NewRecord(re.GetKey(), re.GetOwner(), once.State(re.GetState()),
			time.Duration(re.GetAt()), time.Duration(re.GetBound())))
	}
	return once.NewSnapshot(res, time.Duration(msg.GetClock())), nil
}
