// Package cell runs one VM of a cell: a group of data centres that share one
// log. VMs with a disk replicate the state of the cell; the others take calls
// to the VM that leads. A VM is named by its address for other VMs, and learns
// of the others through its seeds.
package cell
