// Package sched runs the jobs of one data centre.
//
// State is the replicated part: jobs, tasks, attempts and commitments. Every
// replica of the data centre's group applies the same commands to it. Planner
// is the part that only the leader uses: lease times, worker freshness, usage,
// the placement index and the proposal under way.
//
// How to drive them: give the group's replica a *State and give the same
// *State to NewPlanner; both must be used by the one actor that owns the
// replica, because Planner reads State without a lock. After the group became
// leader and has applied an entry of its own term, step TookOver once. From
// then on step Applied with every applied command and its result, whoever
// proposed it, in log order. Step Tick every 100 ms on every VM; its LeadUntil
// is the end of the leader lease, and a caller that knows only that the lease
// holds now gives now plus the tick interval. Step WorkerReport for every poll
// of a worker. Carry out the effects in order: Propose proposes the command in
// the group, Answer completes the poll that it names, and Event goes to the
// timeline. Step SteppedDown when the group lost the leadership, before any
// later command or snapshot. Step Dropped only when it is certain that a proposal will never be
// applied, such as when the group refused it; after a timeout its fate is
// unknown, and the planner waits for Applied or TookOver. Never propose the
// same command twice. Submit and Cancel commands of callers are proposed straight to the
// group; the planner learns of them by Applied.
package sched
