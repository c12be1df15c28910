package wire

import (
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// SchedSnapshots is the codec of the snapshots of a data centre's jobs and workers.
type SchedSnapshots struct{}

// Encode implements Codec.
func (SchedSnapshots) Encode(sn sched.Snapshot) ([]byte, error) {
	return proto.Marshal(SchedSnapshotToProto(sn))
}

// Decode implements Codec.
func (SchedSnapshots) Decode(buf []byte) (sched.Snapshot, error) {
	var msg SchedSnapshot
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return sched.Snapshot{}, &SchedDecodeError{part: "snapshot", cause: err}
	}
	return SchedSnapshotFromProto(&msg)
}

// SchedSnapshotToProto returns the message for a snapshot.
func SchedSnapshotToProto(sn sched.Snapshot) *SchedSnapshot {
	msg := &SchedSnapshot{Submitted: sn.Submitted(), Completed: sn.Completed()}
	for _, wr := range sn.Workers() {
		msg.Workers = append(msg.Workers, &SchedWorker{
			Id: string(wr.ID()), Rack: wr.Rack(), Size: resourcesToProto(wr.Size()), Known: wr.Registered(), Silent: wr.Silent(),
		})
	}
	for _, jr := range sn.Jobs() {
		msg.Jobs = append(msg.Jobs, &SchedJobRecord{
			Job: schedJobToProto(jr.Spec()), Sequence: jr.Sequence(), Done: jr.Done(), Closed: uint32(jr.CloseReason()),
			Tasks: schedTasksToProto(jr.Tasks()),
		})
	}
	return msg
}

// SchedSnapshotFromProto returns the snapshot that msg encodes. Its error is a
// *SchedDecodeError.
func SchedSnapshotFromProto(msg *SchedSnapshot) (sched.Snapshot, error) {
	wrs := make([]sched.WorkerRecord, len(msg.GetWorkers()))
	for i, wm := range msg.GetWorkers() {
		rec := sched.NewWorkerRecord(model.WorkerID(wm.GetId()), wm.GetRack(), resourcesFromProto(wm.GetSize()), wm.GetKnown())
		wrs[i] = rec.WithSilent(wm.GetSilent())
	}
	jrs := make([]sched.JobRecord, len(msg.GetJobs()))
	for i, jm := range msg.GetJobs() {
		trs, err := schedTasksFromProto(jm.GetTasks(), len(wrs))
		if err != nil {
			return sched.Snapshot{}, err
		}
		jrs[i] = sched.NewJobRecord(schedJobFromProto(jm.GetJob()), jm.GetSequence(), jm.GetDone(), sched.Reason(jm.GetClosed()), trs)
	}
	return sched.NewSnapshot(msg.GetSubmitted(), msg.GetCompleted(), wrs, jrs), nil
}

// schedTasksToProto returns the tasks of a job as columns; see SchedTasks.
func schedTasksToProto(trs []sched.TaskRecord) *SchedTasks {
	num := len(trs)
	msg := &SchedTasks{
		State: make([]byte, num), Reason: make([]byte, num), Borrowed: make([]byte, num), Steps: make([]byte, num),
		Attempt: make([]uint32, num), Slot: make([]int32, num), Checkpoints: make([]uint32, 0, 4*num),
		MilliCpu: make([]int64, num), MemoryMb: make([]int64, num), Accelerators: make([]int64, num),
	}
	for i := range trs {
		spec := trs[i].Spec()
		msg.State[i], msg.Reason[i], msg.Steps[i] = byte(spec.State), byte(spec.Reason), byte(len(spec.History))
		if spec.Borrowed {
			msg.Borrowed[i] = 1
		}
		msg.Attempt[i], msg.Slot[i] = uint32(spec.Attempt), spec.WorkerNumber
		msg.MilliCpu[i], msg.MemoryMb[i] = spec.Size.MilliCPU(), spec.Size.MemoryMB()
		msg.Accelerators[i] = spec.Size.Accelerators()
		msg.Checkpoints = append(msg.Checkpoints, uint32(spec.Newest.Attempt()), spec.Newest.Sequence(),
			uint32(spec.Previous.Attempt()), spec.Previous.Sequence())
		for _, hi := range spec.History {
			msg.HistoryKind = append(msg.HistoryKind, byte(hi.Kind()))
			msg.HistoryReason = append(msg.HistoryReason, byte(hi.Reason()))
			msg.HistoryAttempt = append(msg.HistoryAttempt, uint32(hi.Attempt()))
			msg.HistorySlot = append(msg.HistorySlot, hi.WorkerNumber())
		}
	}
	return msg
}

// checkColumnLengths checks that all columns with a value per task have the same length,
// and likewise all those with a value per history entry, so that a malformed snapshot of
// a peer is an error and not a panic.
func checkColumnLengths(msg *SchedTasks) error {
	num, entries := len(msg.GetState()), 0
	for _, cnt := range msg.GetSteps() {
		entries += int(cnt)
	}
	for _, lens := range [][2]int{
		{len(msg.GetReason()), num},
		{len(msg.GetBorrowed()), num},
		{len(msg.GetSteps()), num},
		{len(msg.GetAttempt()), num},
		{len(msg.GetSlot()), num},
		{len(msg.GetMilliCpu()), num},
		{len(msg.GetMemoryMb()), num},
		{len(msg.GetAccelerators()), num},
		{len(msg.GetCheckpoints()), 4 * num},
		{len(msg.GetHistoryKind()), entries},
		{len(msg.GetHistoryReason()), entries},
		{len(msg.GetHistoryAttempt()), entries},
		{len(msg.GetHistorySlot()), entries},
	} {
		if lens[0] != lens[1] {
			return &SchedDecodeError{part: "tasks with columns of different lengths"}
		}
	}
	return nil
}

// schedTasksFromProto returns the tasks of a job; workers is the number of workers in the
// snapshot. The columns slot and history_slot are 1-based indexes into those workers; 0
// means no worker.
func schedTasksFromProto(msg *SchedTasks, workers int) ([]sched.TaskRecord, error) {
	if err := checkColumnLengths(msg); err != nil {
		return nil, err
	}
	num := len(msg.GetState())
	out := make([]sched.TaskRecord, num)
	var his []sched.History
	pos := 0
	for i := range out {
		state := sched.TaskState(msg.State[i])
		if workerIndex := msg.Slot[i]; workerIndex < 0 || int(workerIndex) > workers || state.Live() != (workerIndex > 0) {
			return nil, &SchedDecodeError{part: "task on an unknown worker"}
		}
		if state > sched.Cancelled {
			return nil, &SchedDecodeError{part: "task in an unknown state"}
		}
		his = his[:0]
		for range msg.Steps[i] {
			his = append(his, sched.NewHistory(sched.HistoryKind(msg.HistoryKind[pos]), sched.Reason(msg.HistoryReason[pos]),
				model.Attempt(msg.HistoryAttempt[pos]), msg.HistorySlot[pos]))
			pos++
		}
		out[i] = schedTaskFromProto(msg, i, his)
	}
	return out, nil
}

// schedTaskFromProto returns task i of msg with its history.
func schedTaskFromProto(msg *SchedTasks, i int, his []sched.History) sched.TaskRecord {
	cps := msg.Checkpoints[4*i : 4*i+4]
	return sched.NewTaskRecord(sched.TaskSpec{
		State: sched.TaskState(msg.State[i]), Reason: sched.Reason(msg.Reason[i]), Borrowed: msg.Borrowed[i] == 1,
		Attempt: model.Attempt(msg.Attempt[i]), WorkerNumber: msg.Slot[i],
		Size:     model.NewResources(msg.MilliCpu[i], msg.MemoryMb[i], msg.Accelerators[i]),
		Newest:   sched.NewCheckpoint(model.Attempt(cps[0]), cps[1]),
		Previous: sched.NewCheckpoint(model.Attempt(cps[2]), cps[3]),
		History:  his,
	})
}
