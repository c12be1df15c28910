// Package flow runs jobs of steps on the workers of one cell.
//
// State is the replicated part: jobs, steps, tasks and their runs. Every
// replica of the cell applies the same operations to it. Planner is the part
// that only the leader uses: what workers report, their leases, the choice of
// workers and the orders to send.
//
// Both are used by the one actor that owns the replica. After the replica
// became leader and applied an entry of its own term, step TookOver. From then
// on step Applied after every command, Beat for every report of a worker and
// Tick in each TickEvery. Carry out the effects in order. Step SteppedDown when
// the leadership is lost.
package flow
