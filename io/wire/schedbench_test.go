package wire

import (
	"fmt"
	"testing"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// benchState returns the snapshot of a state in which all tasks run, and encoded commands
// that follow it, each of which ends ten runs and starts the same tasks again. tasks is
// a multiple of 1,000.
func benchState(b *testing.B, workers, tasks, commands int) (sched.Snapshot, [][]byte) {
	const perJob = 1000
	st := &sched.State{}
	wid := func(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }
	for i := range workers {
		st.Apply(sched.NewCommand(sched.RegisterWorker(wid(i), fmt.Sprintf("rack-%d", i/8), model.NewResources(32000, 125000, 2))))
	}
	size := model.NewResources(800, 3000, 0)
	for num := range tasks / perJob {
		jo, err := sched.NewJob(sched.JobSpec{ID: model.JobID(fmt.Sprintf("job-%d", num)), Team: "kiln", Tasks: perJob, Size: size})
		if err != nil {
			b.Fatal(err)
		}
		ops := []sched.Op{sched.Submit(jo)}
		for i := range perJob {
			tid := model.NewTaskID(jo.ID(), i)
			ops = append(ops, sched.Start(tid, 1, wid((num*perJob+i)%workers), size, sched.Checkpoint{}, false),
				sched.Confirm(tid, 1, sched.Checkpoint{}))
		}
		st.Apply(sched.NewCommand(ops...))
	}
	var encoded [][]byte
	for i := range commands {
		var ops []sched.Op
		for j := range 10 {
			num := (i*10 + j) * 37 % tasks
			tid := model.NewTaskID(model.JobID(fmt.Sprintf("job-%d", num/perJob)), num%perJob)
			ops = append(ops, sched.End(tid, 1, wid(num%workers), sched.Lost), sched.Start(tid, 2, wid(num%workers), size, sched.Checkpoint{}, false))
		}
		buf, err := SchedCommands{}.Encode(sched.NewCommand(ops...))
		if err != nil {
			b.Fatal(err)
		}
		encoded = append(encoded, buf)
	}
	return st.Snapshot(), encoded
}

// benchWorkers are the numbers of workers, each with about 30 tasks. The largest, 17,000
// workers and 520,000 tasks, is the largest data centre of the system's description
// (section 1.8).
var benchWorkers = []int{100, 1000, 5000, 17_000}

// benchTasks returns the number of tasks for a number of workers, in whole thousands.
func benchTasks(workers int) int { return workers * 520_000 / 17_000 / 1000 * 1000 }

// BenchmarkSchedRestore measures the restart of a replica: it decodes and restores a
// snapshot, then decodes and applies 1,000 commands, or 300 at the smallest size.
func BenchmarkSchedRestore(b *testing.B) {
	for _, workers := range benchWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			sn, encoded := benchState(b, workers, benchTasks(workers), min(1000, benchTasks(workers)/10))
			buf, err := SchedSnapshots{}.Encode(sn)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				got, err := SchedSnapshots{}.Decode(buf)
				if err != nil {
					b.Fatal(err)
				}
				var st sched.State
				st.Restore(got)
				for _, rec := range encoded {
					cmd, err := SchedCommands{}.Decode(rec)
					if err != nil {
						b.Fatal(err)
					}
					if st.Apply(cmd).Verdict(1) != sched.Accepted {
						b.Fatal("command rejected")
					}
				}
			}
			b.ReportMetric(float64(len(buf))/1e6, "MB")
		})
	}
}

// BenchmarkSchedSnapshot measures the copying of the state for a snapshot. The replica's
// actor makes the copy and handles no other message meanwhile.
func BenchmarkSchedSnapshot(b *testing.B) {
	for _, workers := range benchWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			sn, _ := benchState(b, workers, benchTasks(workers), 0)
			var st sched.State
			st.Restore(sn)
			for b.Loop() {
				_ = st.Snapshot()
			}
		})
	}
}
