// Package group runs one replica of a replicated state machine. An actor owns
// the quorum.Node and the state machine and carries out the node's effects;
// the actors of io/disk own the files.
package group
