// Package sched schedules the jobs of one data centre.
//
// State is the replicated state machine: jobs, tasks, attempts and commitments.
// Every replica of the data centre's replication group, called the group below,
// applies the same commands to it. Planner holds the state that only the leader
// needs: task leases, the time of each worker's last report, the commitments of
// each team, the placement index and the proposal in flight, which is the
// command that was proposed and neither applied nor dropped so far.
//
// # Terms
//
// An attempt is one execution of a task on a worker. Its commitment is the part
// of the worker's resources that is reserved for it. An attempt is borrowed if
// its commitment did not fit in the unused quota of its team when it was
// planned.
//
// A report is what a worker sends about itself and its attempts. A poll is the
// call that carries the report and stays open until the Answer completes it
// with task leases and orders. An order asks the worker to do something with
// one attempt, such as to start or stop it.
//
// A task lease permits a worker to continue an attempt; reports renew it. The
// leader lease is that of the group's consensus, which bounds how long this VM
// may act as leader.
//
// A job is closed when a caller cancels it or the planner fails it. No further
// attempt of a closed job starts.
//
// A kind is the name of the work that the tasks of a job do, see JobSpec.Kind.
// A preset holds the quotas and other limits in force, see model.Preset.
//
// A worker has an index in the State, from 0, which never changes. Its number
// is the index plus one, so that number 0 means no worker.
//
// # Invariants
//
// The package maintains four invariants, which comments and tests refer to by
// number:
//
//   - P1: the commitments on a worker never exceed its size.
//   - P2: at most one attempt of a task runs at any time.
//   - P3: an attempt is started at most once.
//   - P4: no task starts in a data centre that operators took out of service.
//
// # Usage
//
// Give the consensus replica a *State as its state machine and pass the same
// *State to NewPlanner. Only the goroutine that owns the replica may use both,
// because Planner reads State without a lock.
//
// Inputs of Planner.Step:
//
//   - BecameLeader: once, after the replica became leader and has applied an
//     entry of its own term.
//   - Applied: on every VM for every applied command and its result, whoever
//     proposed it, in log order.
//   - Tick: every 100 ms on every VM. Its LeaseUntil is the end of the leader
//     lease; a caller that knows only that the lease is valid now passes now
//     plus the tick interval.
//   - WorkerReport: for every poll of a worker.
//   - TailLatency: for every measurement of a service on a worker.
//   - SteppedDown: when the replica lost the leadership, before any later
//     command or snapshot.
//   - ProposalDropped: only when the proposal will certainly never be applied,
//     such as when the group rejected it. After a timeout it is unknown whether
//     the proposal commits, and the planner waits for Applied or BecameLeader.
//
// Effects must be carried out in order: Propose proposes the command in the
// group, Answer completes the poll that it names, and RecordEvent adds its
// event to the timeline. Never propose the same command twice.
//
// Submit and Cancel commands of callers are proposed directly to the group;
// the planner sees them as Applied inputs.
package sched
