package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/share"
)

// CellDecodeError reports that a command or snapshot of a cell cannot be decoded.
type CellDecodeError struct {
	// part is what could not be decoded, such as command or snapshot.
	part  string
	cause error
}

// Error describes the failure.
func (err *CellDecodeError) Error() string {
	return "decode cell " + err.part + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *CellDecodeError) Unwrap() error { return err.cause }

// CellCommands is the codec of the commands of a cell, which is a group of data centres
// with one replicated log.
type CellCommands struct{}

var _ Codec[cell.Command] = CellCommands{}

// Encode implements Codec.
func (CellCommands) Encode(cmd cell.Command) ([]byte, error) {
	msg := &CellCommand{}
	for _, op := range cmd.Ops() {
		msg.Ops = append(msg.Ops, cellOpToProto(op))
	}
	if doc, ok := cmd.Document(); ok {
		msg.Document = cellDocumentToProto(doc)
	}
	centre, out := cmd.Centre()
	msg.Centre, msg.Out = string(centre), out
	for _, op := range cmd.Waves() {
		msg.Waves = append(msg.Waves, cellWaveOpToProto(op))
	}
	return proto.Marshal(msg)
}

// Decode implements Codec. Its error is a *CellDecodeError.
func (CellCommands) Decode(buf []byte) (cell.Command, error) {
	msg := &CellCommand{}
	if err := proto.Unmarshal(buf, msg); err != nil {
		return cell.Command{}, &CellDecodeError{part: "command", cause: err}
	}
	switch {
	case msg.GetDocument() != nil:
		doc, err := cellDocumentFromProto(msg.GetDocument())
		if err != nil {
			return cell.Command{}, &CellDecodeError{part: "document", cause: err}
		}
		return cell.Configure(doc), nil
	case msg.GetCentre() != "":
		return cell.SetCentreOut(model.CentreID(msg.GetCentre()), msg.GetOut()), nil
	case len(msg.GetWaves()) > 0:
		return cell.Maintain(cellWaveOpsFromProto(msg.GetWaves())...), nil
	}
	ops := make([]flow.Op, 0, len(msg.GetOps()))
	for _, om := range msg.GetOps() {
		op, err := cellOpFromProto(om)
		if err != nil {
			return cell.Command{}, &CellDecodeError{part: "operation", cause: err}
		}
		ops = append(ops, op)
	}
	return cell.Jobs(ops...), nil
}

func cellOpToProto(op flow.Op) *CellOp {
	msg := &CellOp{
		Kind: uint32(op.Kind()), Id: string(op.ID()), Attempt: int32(op.Attempt()), Worker: string(op.Incarnation().Worker()),
		Born: op.Incarnation().StartedAt(), Outcome: uint32(op.Outcome()), Checkpoint: op.Checkpoint(),
		Term: op.Term(), LeaseLeftNs: int64(op.LeaseLeft()),
	}
	switch op.Kind() {
	case flow.OpSubmit:
		msg.Job = cellJobToProto(op.Job().Spec())
	case flow.OpCancel:
		if op.Caller().Restricted() {
			msg.Caller = proto.String(string(op.Caller().Workspace()))
		}
		msg.AtMs = op.AtMs()
	case flow.OpStart, flow.OpEnd:
		tid := op.Task()
		msg.Task = &CellTask{Occurrence: int32(tid.Occurrence()), Step: int32(tid.Step()), Index: int32(tid.Index())}
	}
	return msg
}

// cellOpFromProto returns the operation that msg encodes. A kind that is unknown to this
// version is decoded as the zero operation, which changes nothing.
func cellOpFromProto(msg *CellOp) (flow.Op, error) {
	tid := flow.NewTaskID(model.JobID(msg.GetId()), int(msg.GetTask().GetOccurrence()), int(msg.GetTask().GetStep()), int(msg.GetTask().GetIndex()))
	inc := flow.NewIncarnation(model.WorkerID(msg.GetWorker()), msg.GetBorn())
	switch flow.OpKind(msg.GetKind()) {
	case flow.OpSubmit:
		jo, err := flow.StoredJob(cellJobFromProto(msg.GetJob()))
		return flow.Submit(jo), err
	case flow.OpCancel:
		if msg.Caller == nil {
			return flow.Cancel(model.JobID(msg.GetId())).At(msg.GetAtMs()), nil
		}
		return flow.CancelAs(model.JobID(msg.GetId()), flow.NewCaller(model.WorkspaceID(msg.GetCaller()))).At(msg.GetAtMs()), nil
	case flow.OpStart:
		return flow.Start(tid, int(msg.GetAttempt()), inc), nil
	case flow.OpEnd:
		return flow.End(tid, int(msg.GetAttempt()), flow.Outcome(msg.GetOutcome()), msg.GetCheckpoint()), nil
	case flow.OpForget:
		return flow.Forget(model.JobID(msg.GetId())), nil
	case flow.OpSilence:
		return flow.Silence(inc, msg.GetTerm(), time.Duration(msg.GetLeaseLeftNs())), nil
	case flow.OpHeard:
		return flow.Heard(inc, msg.GetTerm()), nil
	case flow.OpLeft:
		return flow.Left(inc), nil
	}
	return flow.Op{}, nil
}

func cellJobToProto(spec flow.JobSpec) *CellJob {
	msg := &CellJob{
		Id: string(spec.ID), Queue: spec.Queue, Service: string(spec.Service), Workspace: string(spec.Workspace), Body: spec.Body,
		Priority: int64(spec.Priority), Attempts: int64(spec.MaxFailures), Factor: spec.ObjectiveFactor, TargetNs: int64(spec.ObjectiveBase),
		AcceptedMs: spec.AcceptedMs, FirstMs: spec.FirstDueMs, EveryNs: int64(spec.Interval), Times: int32(spec.Repetitions),
	}
	for i := range spec.Steps {
		msg.Steps = append(msg.Steps, cellStepToProto(&spec.Steps[i]))
	}
	return msg
}

func cellJobFromProto(msg *CellJob) flow.JobSpec {
	spec := flow.JobSpec{
		ID: model.JobID(msg.GetId()), Queue: msg.GetQueue(), Service: model.ServiceID(msg.GetService()), Body: msg.GetBody(),
		Workspace: model.WorkspaceID(msg.GetWorkspace()),
		Priority:  int(msg.GetPriority()), MaxFailures: int(msg.GetAttempts()), ObjectiveFactor: msg.GetFactor(),
		ObjectiveBase: time.Duration(msg.GetTargetNs()), AcceptedMs: msg.GetAcceptedMs(), FirstDueMs: msg.GetFirstMs(),
		Interval: time.Duration(msg.GetEveryNs()), Repetitions: int(msg.GetTimes()),
	}
	for _, st := range msg.GetSteps() {
		spec.Steps = append(spec.Steps, cellStepFromProto(st))
	}
	return spec
}

func cellStepToProto(st *flow.StepSpec) *CellStep {
	msg := &CellStep{
		Tasks: int32(st.Tasks), MilliCpu: st.Size.MilliCPU(), MemoryMb: st.Size.MemoryMB(), Accelerators: st.Size.Accelerators(),
		EstimateNs: int64(st.Estimate), Checkpoints: st.Checkpoints, Gang: st.Gang, OneRack: st.SameRack, Label: st.RequiredLabel,
		Rack: st.DataRack, PerWorker: int64(st.PerWorker), Copies: st.Speculative, Lasting: st.LongRunning, Filler: st.Filler,
		Image: st.Image, TailTargetNs: int64(st.TailTarget), Misses: int64(st.MaxUnavailable),
	}
	for _, dep := range st.After {
		msg.After = append(msg.After, int32(dep))
	}
	return msg
}

func cellStepFromProto(msg *CellStep) flow.StepSpec {
	st := flow.StepSpec{
		Tasks: int(msg.GetTasks()), Size: model.NewResources(msg.GetMilliCpu(), msg.GetMemoryMb(), msg.GetAccelerators()),
		Estimate: time.Duration(msg.GetEstimateNs()), Checkpoints: msg.GetCheckpoints(), Gang: msg.GetGang(),
		SameRack: msg.GetOneRack(), RequiredLabel: msg.GetLabel(), DataRack: msg.GetRack(), PerWorker: int(msg.GetPerWorker()),
		Speculative: msg.GetCopies(), LongRunning: msg.GetLasting(), Filler: msg.GetFiller(), Image: msg.GetImage(),
		TailTarget: time.Duration(msg.GetTailTargetNs()), MaxUnavailable: int(msg.GetMisses()),
	}
	for _, dep := range msg.GetAfter() {
		st.After = append(st.After, int(dep))
	}
	return st
}

func cellDocumentToProto(doc cell.Document) *CellDocument {
	msg := &CellDocument{Version: doc.Version(), Text: doc.Text(), Keyed: doc.Keyed(), Limits: CellLimitsToProto(doc.Limits())}
	for _, qu := range doc.Queues() {
		spec := qu.Spec()
		msg.Queues = append(msg.Queues, &CellQueue{
			Name: spec.Name, Host: spec.Host, Prefix: spec.Prefix, Service: string(spec.Service),
			TimeoutNs: int64(spec.Timeout), Priority: int64(spec.Priority), Attempts: int64(spec.MaxFailures),
			Factor: spec.ObjectiveFactor, TargetNs: int64(spec.ObjectiveBase), Public: spec.Public,
		})
	}
	for _, ser := range doc.Services() {
		msg.Services = append(msg.Services, &CellService{Name: string(ser.Name()), Guarded: ser.Guarded()})
	}
	for _, wo := range doc.Workspaces() {
		msg.Workspaces = append(msg.Workspaces, cellWorkspaceToProto(wo))
	}
	return msg
}

func cellWorkspaceToProto(wo cell.Workspace) *CellWorkspace {
	quota := wo.Terms().Quota()
	return &CellWorkspace{
		Name: string(wo.Name()), Keys: wo.Keys(), Weight: wo.Terms().Weight(),
		MilliCpu: quota.MilliCPU(), MemoryMb: quota.MemoryMB(), Accelerators: quota.Accelerators(),
	}
}

func cellWorkspaceFromProto(msg *CellWorkspace) cell.Workspace {
	quota := model.NewResources(msg.GetMilliCpu(), msg.GetMemoryMb(), msg.GetAccelerators())
	return cell.NewWorkspace(cell.WorkspaceSpec{
		Name: model.WorkspaceID(msg.GetName()), Keys: msg.GetKeys(), Terms: share.NewTerms(msg.GetWeight(), quota),
	})
}

// CellLimitsToProto encodes the limits of a request; nil if none is set.
func CellLimitsToProto(lim cell.Limits) *CellLimits {
	if lim == (cell.Limits{}) {
		return nil
	}
	return &CellLimits{
		MaxHeader: lim.MaxHeader, MaxBody: lim.MaxBody, HeaderTimeoutNs: int64(lim.HeaderTimeout), IdleTimeoutNs: int64(lim.IdleTimeout),
	}
}

// CellLimitsFromProto decodes the limits of a request.
func CellLimitsFromProto(msg *CellLimits) cell.Limits {
	return cell.Limits{
		MaxHeader: msg.GetMaxHeader(), MaxBody: msg.GetMaxBody(),
		HeaderTimeout: time.Duration(msg.GetHeaderTimeoutNs()), IdleTimeout: time.Duration(msg.GetIdleTimeoutNs()),
	}
}

func cellDocumentFromProto(msg *CellDocument) (cell.Document, error) {
	spec := cell.DocumentSpec{Version: msg.GetVersion(), Text: msg.GetText(), Keyed: msg.GetKeyed(), Limits: CellLimitsFromProto(msg.GetLimits())}
	for _, qu := range msg.GetQueues() {
		spec.Queues = append(spec.Queues, cell.NewQueue(cell.QueueSpec{
			Name: qu.GetName(), Host: qu.GetHost(), Prefix: qu.GetPrefix(), Service: model.ServiceID(qu.GetService()),
			Timeout: time.Duration(qu.GetTimeoutNs()), Priority: int(qu.GetPriority()), MaxFailures: int(qu.GetAttempts()),
			ObjectiveFactor: qu.GetFactor(), ObjectiveBase: time.Duration(qu.GetTargetNs()), Public: qu.GetPublic(),
		}))
	}
	for _, ser := range msg.GetServices() {
		spec.Services = append(spec.Services, cell.NewService(model.ServiceID(ser.GetName()), ser.GetGuarded()))
	}
	for _, wo := range msg.GetWorkspaces() {
		spec.Workspaces = append(spec.Workspaces, cellWorkspaceFromProto(wo))
	}
	return cell.NewDocument(spec)
}
