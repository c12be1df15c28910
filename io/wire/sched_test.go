package wire

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// drawOps draws up to 12 operations on one job with four tasks and on two workers.
func drawOps(t *rapid.T) []sched.Op {
	task := model.NewTaskID("tray", rapid.IntRange(0, 3).Draw(t, "index"))
	att := model.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt"))
	size := model.NewResources(rapid.Int64Range(1, 2000).Draw(t, "cpu"), 100, 0)
	cp := sched.NewCheckpoint(att, uint32(rapid.IntRange(0, 2).Draw(t, "sequence")))
	wid := model.WorkerID(rapid.SampledFrom([]string{"one", "two"}).Draw(t, "worker"))
	jo, err := sched.NewJob(sched.JobSpec{ID: "tray", Team: "kiln", Tasks: 4, Size: size, RunTime: 5})
	if err != nil {
		t.Fatal(err)
	}
	all := []sched.Op{
		sched.Submit(jo), sched.RegisterWorker(wid, "rack", model.NewResources(4000, 4000, 1)), sched.RemoveWorker(wid),
		sched.MarkSilent(wid), sched.ClearSilent(wid),
		sched.Start(task, att, wid, size, sched.Checkpoint{}, true), sched.Start(task, att, wid, size, cp, false),
		sched.Confirm(task, att, cp), sched.End(task, att, wid, sched.Lost), sched.End(task, att, wid, sched.Succeeded),
		sched.RecordCheckpoint(task, cp), sched.Evict(task, att, sched.ReasonUrgent), sched.Resize(task, att, size),
		sched.Cancel("tray", "other"), sched.Fail("tray", sched.ReasonTooLarge),
	}
	return rapid.SliceOfN(rapid.SampledFrom(all), 1, 12).Draw(t, "ops")
}

// Guards against replicas whose states diverge because a field of a command or of a
// snapshot is not encoded.
func TestSchedCodecsKeepEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var original, replica sched.State
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			cmd := sched.NewCommand(drawOps(t)...).WithSerial(rapid.Uint64().Draw(t, "serial"))
			buf, err := SchedCommands{}.Encode(cmd)
			if err != nil {
				t.Fatal(err)
			}
			got, err := SchedCommands{}.Decode(buf)
			if err != nil {
				t.Fatal(err)
			}
			if got.Serial() != cmd.Serial() {
				t.Fatalf("serial %d, want %d", got.Serial(), cmd.Serial())
			}
			if res, want := replica.Apply(got), original.Apply(cmd); !reflect.DeepEqual(res, want) {
				t.Fatalf("results %v, want %v", res, want)
			}
		}
		buf, err := SchedSnapshots{}.Encode(original.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		sn, err := SchedSnapshots{}.Decode(buf)
		if err != nil {
			t.Fatal(err)
		}
		var restored sched.State
		restored.Restore(sn)
		if !reflect.DeepEqual(restored.Snapshot(), original.Snapshot()) || !reflect.DeepEqual(replica.Snapshot(), original.Snapshot()) {
			t.Fatal("the restored state differs")
		}
	})
}
