package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
)

// CellSnapshots is the codec of the snapshots of a cell's state.
type CellSnapshots struct{}

var _ Codec[cell.Snapshot] = CellSnapshots{}

// Encode implements Codec.
func (CellSnapshots) Encode(snap cell.Snapshot) ([]byte, error) {
	msg := &CellSnapshot{Submitted: snap.Jobs().Submitted()}
	if doc := snap.Document(); doc.Version() > 0 {
		msg.Document = cellDocumentToProto(doc)
	}
	for _, cen := range snap.Out() {
		msg.Out = append(msg.Out, string(cen))
	}
	for _, rec := range snap.Jobs().Jobs() {
		msg.Jobs = append(msg.Jobs, cellJobRecordToProto(rec))
	}
	for _, rec := range snap.Jobs().Silences() {
		msg.Silences = append(msg.Silences, &CellSilence{
			Worker: string(rec.Incarnation.Worker()), Born: rec.Incarnation.StartedAt(), Term: rec.Term, LeaseLeftNs: int64(rec.LeaseLeft),
		})
	}
	for _, wd := range snap.Jobs().Withdrawals() {
		msg.Withdrawals = append(msg.Withdrawals, &CellWithdrawal{Job: string(wd.Job), Workspace: string(wd.Workspace), AtMs: wd.AtMs})
	}
	for _, rec := range snap.Waves() {
		msg.Waves = append(msg.Waves, cellWaveToProto(rec))
	}
	return proto.Marshal(msg)
}

// Decode implements Codec. Its error is a *CellDecodeError.
func (CellSnapshots) Decode(buf []byte) (cell.Snapshot, error) {
	msg := &CellSnapshot{}
	if err := proto.Unmarshal(buf, msg); err != nil {
		return cell.Snapshot{}, &CellDecodeError{part: "snapshot", cause: err}
	}
	var doc cell.Document
	if msg.GetDocument() != nil {
		var err error
		if doc, err = cellDocumentFromProto(msg.GetDocument()); err != nil {
			return cell.Snapshot{}, &CellDecodeError{part: "document", cause: err}
		}
	}
	var out []model.CentreID
	for _, cen := range msg.GetOut() {
		out = append(out, model.CentreID(cen))
	}
	var recs []flow.JobRecord
	for _, rec := range msg.GetJobs() {
		recs = append(recs, cellJobRecordFromProto(rec))
	}
	var silences []flow.SilenceRecord
	for _, sm := range msg.GetSilences() {
		silences = append(silences, flow.SilenceRecord{
			Incarnation: flow.NewIncarnation(model.WorkerID(sm.GetWorker()), sm.GetBorn()), Term: sm.GetTerm(), LeaseLeft: time.Duration(sm.GetLeaseLeftNs()),
		})
	}
	var withdrawn []flow.Withdrawal
	for _, wm := range msg.GetWithdrawals() {
		withdrawn = append(withdrawn, flow.Withdrawal{
			Job: model.JobID(wm.GetJob()), Workspace: model.WorkspaceID(wm.GetWorkspace()), AtMs: wm.GetAtMs(),
		})
	}
	jobs := flow.NewSnapshot(msg.GetSubmitted(), recs, silences).WithWithdrawals(withdrawn)
	return cell.NewSnapshot(doc, out, jobs).WithWaves(cellWavesFromProto(msg.GetWaves())), nil
}

func cellJobRecordToProto(rec flow.JobRecord) *CellJobRecord {
	msg := &CellJobRecord{
		Job: cellJobToProto(rec.Spec), Status: uint32(rec.Status), Started: rec.Started, Sequence: rec.Sequence,
	}
	for _, tr := range rec.Tasks {
		tm := &CellTaskRecord{
			Task:    &CellTask{Occurrence: int32(tr.Occurrence), Step: int32(tr.Step), Index: int32(tr.Index)},
			Attempt: int32(tr.Attempt), Failures: int32(tr.Failures), Done: tr.Done, Checkpoint: tr.Checkpoint,
		}
		for _, rr := range tr.Runs {
			tm.Runs = append(tm.Runs, &CellRun{Attempt: int32(rr.Attempt), Worker: string(rr.Incarnation.Worker()), Born: rr.Incarnation.StartedAt()})
		}
		msg.Tasks = append(msg.Tasks, tm)
	}
	return msg
}

func cellJobRecordFromProto(msg *CellJobRecord) flow.JobRecord {
	rec := flow.JobRecord{
		Spec: cellJobFromProto(msg.GetJob()), Status: flow.Status(msg.GetStatus()), Started: msg.GetStarted(), Sequence: msg.GetSequence(),
	}
	for _, tm := range msg.GetTasks() {
		tr := flow.TaskRecord{
			Occurrence: int(tm.GetTask().GetOccurrence()), Step: int(tm.GetTask().GetStep()), Index: int(tm.GetTask().GetIndex()),
			Attempt: int(tm.GetAttempt()), Failures: int(tm.GetFailures()), Done: tm.GetDone(), Checkpoint: tm.GetCheckpoint(),
		}
		for _, rr := range tm.GetRuns() {
			tr.Runs = append(tr.Runs, flow.RunRecord{
				Attempt: int(rr.GetAttempt()), Incarnation: flow.NewIncarnation(model.WorkerID(rr.GetWorker()), rr.GetBorn()),
			})
		}
		rec.Tasks = append(rec.Tasks, tr)
	}
	return rec
}
