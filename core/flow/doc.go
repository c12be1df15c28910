// Package flow schedules jobs on the workers of one cell.
//
// A job is a workflow of steps, and a step consists of identical tasks. A run
// is one attempt of a task on a worker. A repeating job has one occurrence of
// its steps for each repetition. The tasks of a gang step run at the same time
// or not at all. The objective of a job is the time within which an occurrence
// should complete after it is due. A long-running task runs until its job is
// cancelled. An incarnation is one start of a worker process.
//
// A serving task answers latency-critical callers of its own and has a target
// for their tail latency; a serving job is one with such tasks. A filler is a
// best-effort task that uses the processors which other tasks leave idle. Its
// pace is the percentage of full speed at which it may work, 0 to 100; a filler
// at pace 0 is suspended. To evict a run is to stop it so that its task can
// start on another worker. A reading is what a heartbeat says about the last
// half second of a run (RunReport.Reading).
//
// The pressure on a serving task is 0 when it is idle, and its tail latency is
// that of an idle task divided by (1 - pressure). The pressure is the sum of
// the load, which callers cause, and of what the fillers on the same worker
// add. The use of a filler is the fraction of the worker's processors that it
// uses, 0 to 1; the sensitivity of a serving image to a filler image is the
// pressure that the filler would add at a use of 1.
//
// State is the replicated part: jobs, steps, tasks and their runs. Every
// replica of the cell applies the same operations to it. Planner holds what
// only the leader needs: the latest heartbeats and the leases of the workers,
// and the runs placed on them. It chooses workers for tasks and answers
// heartbeats with orders to start, stop or pace runs.
//
// Only the goroutine that owns the replica may use either. Once the replica has
// become leader and has applied an entry of its own term, step BecameLeader.
// While it leads, step Applied after every applied operation, Heartbeat for
// every heartbeat of a worker, and Tick every TickInterval. Carry out the
// effects in order. Step SteppedDown when leadership is lost.
package flow
