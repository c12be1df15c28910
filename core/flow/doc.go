// Package flow schedules jobs on the workers of one cell.
//
// A job is a workflow of steps, and a step consists of identical tasks. A run is
// one attempt of a task on a worker. A repeating job has one occurrence of its
// steps for each repetition. A serving task answers latency-critical callers of
// its own. A filler is a best-effort task that uses the processors which other
// tasks leave idle; its pace is the percentage of full speed at which it may
// work. A long-running task runs until its job is cancelled. An incarnation is
// one start of a worker process.
//
// State is the replicated part: jobs, steps, tasks and their runs. Every
// replica of the cell applies the same operations to it. Planner holds what
// only the leader needs: the latest heartbeats and the leases of the workers,
// and the runs placed on them. It chooses workers for tasks and answers
// heartbeats with orders to start, stop or pace runs.
//
// Only the actor that owns the replica may use either. Once the replica has
// become leader and has applied an entry of its own term, step TookOver. While
// it leads, step Applied after every applied operation, Heartbeat for every
// heartbeat of a worker, and Tick every TickEvery. Carry out the effects in
// order. Step SteppedDown when leadership is lost.
package flow
