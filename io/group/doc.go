// Package group runs one replica of a replicated state machine. A group is the
// set of VMs whose replicas agree on one log of commands (package quorum): voters
// elect a leader and commit entries, learners only receive the log. While the leader
// holds its lease, no other replica can lead, so it serves reads from its own state.
// An actor owns the consensus state machine of the replica (quorum.Node, called the
// node here) and the state machine to which committed commands are applied (an
// implementation of quorum.Replica), and executes the effects of the node. The
// actors of io/disk own the files.
package group
