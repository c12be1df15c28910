// Package waves decides how maintenance waves are carried out. A wave is a numbered request
// to maintain a list of machines, of which only so many may be down at the same time.
//
// State is replicated: it holds for each machine of a running wave whether the order for its
// maintenance may have been sent and whether the maintenance has begun. Planner runs on the
// leader. It chooses the machines that are drained and ordered next. It does no I/O; its
// effects ask the owner to call the platform, to propose operations and to drain workers.
package waves
