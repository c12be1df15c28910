// Package cell runs one VM of a cell: a group of data centres that share one
// replicated log. VMs with a disk replicate the state of the cell, and one of them
// is the leader. Its planner, a flow.Planner, schedules the jobs of the cell. Any VM
// routes calls to the leader. A VM is identified by the address on which it listens
// for other VMs. It discovers them through its seeds, the VMs whose addresses are in
// the settings.
package cell
