// Package cell runs one VM of a cell: a group of data centres that share one
// replicated log. VMs with a disk replicate the state of the cell; the others
// route calls to the leader. A VM is identified by the address on which it
// listens for other VMs, and discovers them through its seeds.
package cell
