package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// SchedDecodeError reports that a command or snapshot of the scheduler cannot be
// decoded.
type SchedDecodeError struct {
	// part is what could not be decoded, with the reason if cause is nil.
	part  string
	cause error
}

// Error describes the failure.
func (err *SchedDecodeError) Error() string {
	if err.cause == nil {
		return "decode scheduler " + err.part
	}
	return "decode scheduler " + err.part + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *SchedDecodeError) Unwrap() error { return err.cause }

// SchedCommands is the codec of the commands on the jobs of a data centre.
type SchedCommands struct{}

// Encode implements Codec.
func (SchedCommands) Encode(cmd sched.Command) ([]byte, error) {
	return proto.Marshal(SchedCommandToProto(cmd))
}

// Decode implements Codec.
func (SchedCommands) Decode(buf []byte) (sched.Command, error) {
	var msg SchedCommand
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return sched.Command{}, &SchedDecodeError{part: "command", cause: err}
	}
	return SchedCommandFromProto(&msg)
}

// SchedCommandToProto returns the message for a command.
func SchedCommandToProto(cmd sched.Command) *SchedCommand {
	msg := &SchedCommand{Serial: cmd.Serial(), Ops: make([]*SchedOp, cmd.Len())}
	for i := range msg.Ops {
		msg.Ops[i] = schedOpToProto(cmd.Op(i))
	}
	return msg
}

// SchedCommandFromProto returns the command that msg encodes. Its error is a
// *SchedDecodeError.
func SchedCommandFromProto(msg *SchedCommand) (sched.Command, error) {
	ops := make([]sched.Op, len(msg.GetOps()))
	for i, om := range msg.GetOps() {
		op, err := schedOpFromProto(om)
		if err != nil {
			return sched.Command{}, err
		}
		ops[i] = op
	}
	return sched.NewCommand(ops...).WithSerial(msg.GetSerial()), nil
}

func schedOpToProto(op sched.Op) *SchedOp {
	msg := &SchedOp{
		Kind: uint32(op.Kind()), Reason: uint32(op.Reason()), Outcome: uint32(op.Outcome()), Borrowed: op.Borrowed(),
		Attempt: uint32(op.Attempt()), Job: string(op.Task().Job()), Index: int32(op.Task().Index()),
		Worker: string(op.Worker()), Rack: op.Rack(),
		CheckpointAttempt: uint32(op.Checkpoint().Attempt()), CheckpointSequence: op.Checkpoint().Sequence(),
	}
	if !op.Size().IsZero() {
		msg.Size = resourcesToProto(op.Size())
	}
	if op.Kind() == sched.OpSubmit {
		msg.Submit = schedJobToProto(op.Job().Spec())
	}
	for _, id := range op.Jobs() {
		msg.Jobs = append(msg.Jobs, string(id))
	}
	return msg
}

// schedOpFromProto returns the operation that msg encodes. An invalid job is a
// SchedDecodeError, and an operation of an unknown kind an UnknownOperationError.
func schedOpFromProto(msg *SchedOp) (sched.Op, error) {
	task := model.NewTaskID(model.JobID(msg.GetJob()), int(msg.GetIndex()))
	att, wid := model.Attempt(msg.GetAttempt()), model.WorkerID(msg.GetWorker())
	size := resourcesFromProto(msg.GetSize())
	cp := sched.NewCheckpoint(model.Attempt(msg.GetCheckpointAttempt()), msg.GetCheckpointSequence())
	jobs := make([]model.JobID, len(msg.GetJobs()))
	for i, id := range msg.GetJobs() {
		jobs[i] = model.JobID(id)
	}
	switch sched.OpKind(msg.GetKind()) {
	case sched.OpSubmit:
		jo, err := sched.NewJob(schedJobFromProto(msg.GetSubmit()))
		if err != nil {
			return sched.Op{}, &SchedDecodeError{part: "job", cause: err}
		}
		return sched.Submit(jo), nil
	case sched.OpCancel:
		return sched.Cancel(jobs...), nil
	case sched.OpRegisterWorker:
		return sched.RegisterWorker(wid, msg.GetRack(), size), nil
	case sched.OpRemoveWorker:
		return sched.RemoveWorker(wid), nil
	case sched.OpMarkSilent:
		return sched.MarkSilent(wid), nil
	case sched.OpClearSilent:
		return sched.ClearSilent(wid), nil
	case sched.OpStart:
		return sched.Start(task, att, wid, size, cp, msg.GetBorrowed()), nil
	case sched.OpConfirm:
		return sched.Confirm(task, att, cp), nil
	case sched.OpEnd:
		return sched.End(task, att, wid, sched.Outcome(msg.GetOutcome())), nil
	case sched.OpCheckpoint:
		return sched.RecordCheckpoint(task, cp), nil
	case sched.OpEvict:
		return sched.Evict(task, att, sched.Reason(msg.GetReason())), nil
	case sched.OpResize:
		return sched.Resize(task, att, size), nil
	case sched.OpFail:
		if len(jobs) == 1 {
			return sched.Fail(jobs[0], sched.Reason(msg.GetReason())), nil
		}
	}
	return sched.Op{}, &UnknownOperationError{group: "data centre"}
}

func resourcesToProto(re model.Resources) *SchedResources {
	return &SchedResources{MilliCpu: re.MilliCPU(), MemoryMb: re.MemoryMB(), Accelerators: re.Accelerators()}
}

func resourcesFromProto(msg *SchedResources) model.Resources {
	return model.NewResources(msg.GetMilliCpu(), msg.GetMemoryMb(), msg.GetAccelerators())
}

func schedJobToProto(spec sched.JobSpec) *SchedJob {
	return &SchedJob{
		Id: string(spec.ID), Team: string(spec.Team), Priority: uint32(spec.Priority), Kind: spec.Kind,
		Tasks: int32(spec.Tasks), Size: resourcesToProto(spec.Size), RunTimeNs: int64(spec.RunTime),
	}
}

func schedJobFromProto(msg *SchedJob) sched.JobSpec {
	return sched.JobSpec{
		ID: model.JobID(msg.GetId()), Team: model.TeamID(msg.GetTeam()), Priority: model.Priority(msg.GetPriority()),
		Kind: msg.GetKind(), Tasks: int(msg.GetTasks()), Size: resourcesFromProto(msg.GetSize()),
		RunTime: time.Duration(msg.GetRunTimeNs()),
	}
}
