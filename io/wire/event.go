package wire

import (
	"strings"

	"guavarail/core/event"
	"guavarail/core/model"
)

// EventQueryToProto returns the message for a query for the records after pos that fil
// selects. The limit is the largest number of records in the answer, at most
// event.MaxPageRecords; 0 or less means the default of the VM that answers.
func EventQueryToProto(pos event.Position, fil event.Filter, limit int) *EventQuery {
	return &EventQuery{
		Epoch: uint64(pos.Epoch()), After: pos.Seq(), Kind: string(fil.Kind), SinceClock: uint64(fil.Since),
		Limit: uint32(max(0, min(limit, event.MaxPageRecords))),
		Subject: eventSubjectToProto(event.Subject{
			Centre: fil.Centre, VM: fil.VM, Job: fil.Job, Task: fil.Task,
			Request: fil.Request, Worker: fil.Worker, Backend: fil.Backend,
		}),
	}
}

// EventQueryFromProto returns the position, the filter and the limit of a query. A limit
// above event.MaxPageRecords is lowered to it; 0 means the default of this VM.
func EventQueryFromProto(que *EventQuery) (event.Position, event.Filter, int) {
	sub := eventSubjectFromProto(que.GetSubject())
	fil := event.Filter{
		Kind: event.Kind(que.GetKind()), Job: sub.Job, Task: sub.Task, Request: sub.Request, VM: sub.VM,
		Centre: sub.Centre, Worker: sub.Worker, Backend: sub.Backend, Since: event.Stamp(que.GetSinceClock()),
	}
	return event.NewPosition(event.Stamp(que.GetEpoch()), que.GetAfter()), fil, int(min(que.GetLimit(), event.MaxPageRecords))
}

// EventPageToProto returns the message for a page, which answers a query.
func EventPageToProto(pa event.Page) *EventPage {
	msg := &EventPage{
		Vm: string(pa.VM()), Epoch: uint64(pa.Next().Epoch()), Next: pa.Next().Seq(),
		Lost: pa.Lost(), SettledClock: uint64(pa.Watermark()), More: pa.More(),
	}
	for _, rec := range pa.Records() {
		msg.Records = append(msg.Records, eventRecordToProto(rec))
	}
	return msg
}

// EventPageFromProto returns the page that msg encodes.
func EventPageFromProto(msg *EventPage) event.Page {
	recs := make([]event.Record, 0, len(msg.GetRecords()))
	for _, rec := range msg.GetRecords() {
		recs = append(recs, eventRecordFromProto(rec))
	}
	next := event.NewPosition(event.Stamp(msg.GetEpoch()), msg.GetNext())
	return event.NewPage(model.VMID(msg.GetVm()), recs, next, msg.GetLost(), event.Stamp(msg.GetSettledClock()), msg.GetMore())
}

func eventRecordToProto(rec event.Record) *EventRecord {
	evt := rec.Event()
	msg := &EventRecord{
		Clock: uint64(rec.Stamp()), Vm: string(rec.VM()), Seq: rec.Seq(),
		Kind: string(evt.Kind()), Subject: eventSubjectToProto(evt.Subject()),
	}
	for _, fi := range evt.Fields() {
		msg.Fields = append(msg.Fields, &EventField{Key: fi.Key(), Value: toText(fi.Value())})
	}
	return msg
}

// toText returns a value as UTF-8, so that no record keeps a page from being encoded.
func toText[T ~string](val T) string { return strings.ToValidUTF8(string(val), "\uFFFD") }

func eventRecordFromProto(msg *EventRecord) event.Record {
	fis := make([]event.Field, 0, len(msg.GetFields()))
	for _, fi := range msg.GetFields() {
		fis = append(fis, event.NewField(fi.GetKey(), fi.GetValue()))
	}
	evt := event.New(event.Kind(msg.GetKind()), eventSubjectFromProto(msg.GetSubject()), fis...)
	return event.NewRecord(event.Stamp(msg.GetClock()), model.VMID(msg.GetVm()), msg.GetSeq(), evt)
}

func eventSubjectToProto(sub event.Subject) *EventSubject {
	return &EventSubject{
		Centre: toText(sub.Centre), Vm: toText(sub.VM), Job: toText(sub.Job), Task: toText(sub.Task),
		Request: toText(sub.Request), Worker: toText(sub.Worker), Backend: toText(sub.Backend),
	}
}

func eventSubjectFromProto(msg *EventSubject) event.Subject {
	return event.Subject{
		Centre: model.CentreID(msg.GetCentre()), VM: model.VMID(msg.GetVm()), Job: model.JobID(msg.GetJob()),
		Task: msg.GetTask(), Request: msg.GetRequest(), Worker: model.WorkerID(msg.GetWorker()),
		Backend: model.BackendID(msg.GetBackend()),
	}
}
