package wire

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/share"
	"guavarail/core/waves"
)

// newCellJob returns a job in which each field is set in at least one step.
func newCellJob(t *testing.T) flow.Job {
	t.Helper()
	jo, err := flow.NewJob(flow.JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "quotes", Service: "orders", Workspace: "co-op", Body: "text", Priority: 2, MaxFailures: 3, ObjectiveFactor: 1.5,
		ObjectiveBase: time.Second, AcceptedMs: 17, FirstDueMs: 5, Interval: time.Second, Repetitions: 2,
		Steps: []flow.StepSpec{
			{
				Tasks: 2, Size: model.NewResources(1500, 2048, 1), Estimate: time.Second, Checkpoints: true, Gang: true, SameRack: true,
				RequiredLabel: "b", DataRack: "r1", PerWorker: 1, Speculative: true, MaxUnavailable: -1,
			},
			{Tasks: 1, Size: model.NewResources(500, 64, 0), After: []int{0}, LongRunning: true, Filler: true, Image: "im", TailTarget: time.Millisecond, MaxUnavailable: 2},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return jo
}

// Guards against a field of a command that is not encoded, so that it is lost when the
// log is replicated or read.
func TestCellCommandsKeepEveryField(t *testing.T) {
	doc, err := cell.NewDocument(cell.DocumentSpec{
		Version: 9, Text: []byte(`{"version":9}`), Services: []cell.Service{cell.NewService("orders", true)},
		Queues: []cell.Queue{cell.NewQueue(cell.QueueSpec{
			Name: "quotes", Host: "h.example", Prefix: "/q/", Service: "orders", Timeout: time.Second, Priority: 1, MaxFailures: 2, ObjectiveFactor: 2.5, ObjectiveBase: time.Minute, Public: true,
		})},
		Workspaces: []cell.Workspace{cell.NewWorkspace(cell.WorkspaceSpec{
			Name: "co-op", Keys: []string{"k1", "k2"}, Terms: share.NewTerms(2.5, model.NewResources(1000, 2000, 3)),
		})},
		Keyed: true, Limits: cell.Limits{MaxHeader: 1, MaxBody: 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	task := flow.NewTaskID("5c0e7a21d94b36f8", 1, 0, 1)
	tests := []cell.Command{
		cell.Configure(doc), cell.SetCentreOut("riga-a", true), cell.SetCentreOut("riga-a", false),
		cell.Jobs(flow.Submit(newCellJob(t)), flow.Cancel("x"), flow.CancelAs("x", flow.NewCaller("")), flow.CancelAs("x", flow.NewCaller("co-op")).At(9), flow.Start(task, 3, flow.NewIncarnation("w", 99)),
			flow.End(task, 3, flow.Stopped, "point"), flow.Forget("x"), flow.Silence(flow.NewIncarnation("w", 99), 7, time.Second), flow.Heard(flow.NewIncarnation("w", 99), 8)),
		cell.Maintain(waves.Accept(waves.Spec{Number: 0, Machines: []waves.MachineID{"m-1", "m-2"}, Limit: 2, EndMs: 3, Duration: time.Second}),
			waves.Mark(0, waves.Machine{ID: "m-2", Phase: waves.Ordered, Worker: "w"}), waves.Op{}),
	}
	for i, cmd := range tests {
		buf, err := CellCommands{}.Encode(cmd)
		if err != nil {
			t.Fatal(err)
		}
		got, err := CellCommands{}.Decode(buf)
		if err != nil || !reflect.DeepEqual(got, cmd) {
			t.Errorf("command %d: %+v, %v; want %+v", i, got, err, cmd)
		}
	}
}

// Guards against a state that differs after it was restored from a snapshot, because a
// field is not encoded.
func TestCellSnapshotsKeepTheState(t *testing.T) {
	var sta cell.State
	task := flow.NewTaskID("5c0e7a21d94b36f8", 1, 0, 1)
	sta.Apply(cell.SetCentreOut("riga-b", true))
	sta.Apply(cell.Jobs(flow.Submit(newCellJob(t)), flow.Start(task, 1, flow.NewIncarnation("w", 99)), flow.End(task, 1, flow.Failed, "point"),
		flow.Start(task, 2, flow.NewIncarnation("v", 98)), flow.Silence(flow.NewIncarnation("v", 98), 7, time.Second)))
	accept := waves.Accept(waves.Spec{Number: 4, Machines: []waves.MachineID{"m-2", "m-1"}, Limit: 1, EndMs: 3, Duration: time.Second})
	sta.Apply(cell.Maintain(accept, waves.Mark(4, waves.Machine{ID: "m-1", Phase: waves.Ordered, Worker: "w"})))
	sta.Apply(cell.Maintain(waves.Accept(waves.Spec{Number: 5, Machines: []waves.MachineID{"m-3"}, Limit: 1}), waves.Mark(5, waves.Machine{ID: "m-3", Phase: waves.Gone})))
	sta.Apply(cell.Jobs(flow.CancelAs("unknown", flow.NewCaller("a")).At(7)))
	if len(sta.Snapshot().Jobs().Withdrawals()) != 1 {
		t.Fatal("the snapshot has no cancellation of an unknown job")
	}
	if sta.Waves().Running() != 1 {
		t.Fatal("the snapshot has no running wave")
	}
	if len(sta.Snapshot().Jobs().Silences()) != 1 {
		t.Fatal("the snapshot has no silent worker")
	}
	buf, err := CellSnapshots{}.Encode(sta.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	snap, err := CellSnapshots{}.Decode(buf)
	if err != nil {
		t.Fatal(err)
	}
	var got cell.State
	got.Restore(snap)
	if !reflect.DeepEqual(got.Snapshot(), sta.Snapshot()) {
		t.Errorf("snapshot %+v, want %+v", got.Snapshot(), sta.Snapshot())
	}
}

// Guards against an operation of a later version that drops the job it names.
func TestUnknownCellOperationChangesNothing(t *testing.T) {
	var sta cell.State
	sta.Apply(cell.Jobs(flow.Submit(newCellJob(t)), flow.Cancel("5c0e7a21d94b36f8")))
	before := sta.Snapshot()
	buf, err := proto.Marshal(&CellCommand{Ops: []*CellOp{{Kind: 99, Id: "5c0e7a21d94b36f8"}}})
	if err != nil {
		t.Fatal(err)
	}
	cmd, err := CellCommands{}.Decode(buf)
	if err != nil {
		t.Fatal(err)
	}
	sta.Apply(cmd)
	if got := sta.Snapshot(); !reflect.DeepEqual(got, before) {
		t.Errorf("state %+v, want %+v", got, before)
	}
}

// Guards against a number that is accepted from outside and has another value, or cannot
// be decoded, when it is read from the log.
func TestLargeNumbersSurviveTheLog(t *testing.T) {
	for _, num := range []int{1<<31 - 1, 1 << 31, 1<<32 - 1, 1 << 32, math.MaxInt64} {
		doc, err := cell.NewDocument(cell.DocumentSpec{
			Version: math.MaxUint64, Services: []cell.Service{cell.NewService("orders", true)},
			Queues: []cell.Queue{cell.NewQueue(cell.QueueSpec{
				Host: "h.example", Prefix: "/", Service: "orders", Timeout: time.Duration(num), Priority: num, MaxFailures: num,
				ObjectiveFactor: math.MaxFloat64, ObjectiveBase: time.Duration(num),
			})},
		})
		if err != nil {
			t.Fatal(err)
		}
		jo, err := flow.NewJob(flow.JobSpec{
			ID: "job", Priority: num, MaxFailures: num,
			Steps: []flow.StepSpec{{Tasks: 1, PerWorker: num, MaxUnavailable: num}},
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, cmd := range []cell.Command{cell.Configure(doc), cell.Jobs(flow.Submit(jo))} {
			buf, err := CellCommands{}.Encode(cmd)
			if err != nil {
				t.Fatal(err)
			}
			got, err := CellCommands{}.Decode(buf)
			if err != nil || !reflect.DeepEqual(got, cmd) {
				t.Errorf("%d: %+v, %v; want %+v", num, got, err, cmd)
			}
		}
	}
}
