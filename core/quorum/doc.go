// Package quorum replicates a log over a group of VMs with the Raft algorithm:
// elections with pre-vote, a leader lease, learners, one membership change at a
// time, snapshots, log compaction and leadership transfer. A Node is a state
// machine without I/O; its owner passes inputs to Step and executes the
// effects that Step returns.
package quorum
