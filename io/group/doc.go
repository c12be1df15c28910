// Package group runs one replica of a replicated state machine. An actor owns
// the quorum.Node and the state machine, and executes the effects of the node.
// The actors of io/disk own the files.
package group
