// Package quorum is the replicated log of a group of VMs: elections with
// pre-vote, a leader lease, learners, one membership change at a time,
// snapshots, compaction and transfer of leadership.
package quorum
