// Package group runs one replica of a replicated state machine. A group is the
// set of VMs whose replicas agree on one log of commands (package quorum). An
// actor owns the quorum.Node and the state machine of the replica, and executes
// the effects of the node. The actors of io/disk own the files.
package group
