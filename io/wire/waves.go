package wire

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/waves"
)

func cellWaveToProto(rec waves.Record) *CellWave {
	msg := &CellWave{Number: int64(rec.Spec.Number), Limit: int64(rec.Spec.Limit), EndMs: rec.Spec.EndMs, DurationNs: int64(rec.Spec.Duration)}
	for _, id := range rec.Spec.Machines {
		msg.Machines = append(msg.Machines, string(id))
	}
	for _, mac := range rec.Machines {
		msg.States = append(msg.States, cellWaveMachineToProto(mac))
	}
	return msg
}

func cellWaveMachineToProto(mac waves.Machine) *CellWaveMachine {
	return &CellWaveMachine{Id: string(mac.ID), Phase: uint32(mac.Phase), Worker: string(mac.Worker)}
}

func cellWaveFromProto(msg *CellWave) waves.Record {
	rec := waves.Record{Spec: waves.Spec{
		Number: waves.Number(msg.GetNumber()), Limit: int(msg.GetLimit()), EndMs: msg.GetEndMs(), Duration: time.Duration(msg.GetDurationNs()),
	}}
	for _, id := range msg.GetMachines() {
		rec.Spec.Machines = append(rec.Spec.Machines, waves.MachineID(id))
	}
	for _, mac := range msg.GetStates() {
		rec.Machines = append(rec.Machines, cellWaveMachineFromProto(mac))
	}
	return rec
}

func cellWaveMachineFromProto(msg *CellWaveMachine) waves.Machine {
	return waves.Machine{ID: waves.MachineID(msg.GetId()), Phase: waves.Phase(min(msg.GetPhase(), 255)), Worker: model.WorkerID(msg.GetWorker())}
}

func cellWavesFromProto(msgs []*CellWave) []waves.Record {
	var out []waves.Record
	for _, msg := range msgs {
		out = append(out, cellWaveFromProto(msg))
	}
	return out
}

func cellWaveOpToProto(op waves.Op) *CellWaveOp {
	if spec, ok := op.Spec(); ok {
		return &CellWaveOp{Accept: cellWaveToProto(waves.Record{Spec: spec})}
	}
	if mac, ok := op.Machine(); ok {
		return &CellWaveOp{Number: int64(op.Number()), Mark: cellWaveMachineToProto(mac)}
	}
	return &CellWaveOp{}
}

// cellWaveOpsFromProto returns the operations that msgs encode. One of a kind that is unknown
// to this version is decoded as the zero operation, which changes nothing.
func cellWaveOpsFromProto(msgs []*CellWaveOp) []waves.Op {
	var out []waves.Op
	for _, msg := range msgs {
		switch {
		case msg.GetAccept() != nil:
			out = append(out, waves.Accept(cellWaveFromProto(msg.GetAccept()).Spec))
		case msg.GetMark() != nil:
			out = append(out, waves.Mark(waves.Number(msg.GetNumber()), cellWaveMachineFromProto(msg.GetMark())))
		default:
			out = append(out, waves.Op{})
		}
	}
	return out
}
