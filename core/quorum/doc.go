// Package quorum replicates a log over a group of VMs with the Raft algorithm:
// elections with pre-vote, a leader lease, learners, one membership change at a
// time, snapshots, log compaction and leadership transfer. A Node is the state
// machine of one replica, without I/O; its owner passes inputs to Step and
// executes the effects that Step returns.
//
// A replica, in lower case, is one member of a group with its copy of the log.
// Replica is the interface of the application's state machine, to which the owner
// of a Node applies the committed commands. The members are voters, which elect the
// leader and whose acknowledgements commit entries, and learners, which only
// receive the log. A configuration (Members) lists them.
//
// A replica stores its log and its vote in a data directory, called its disk,
// which has an identity of its own. The configuration of the group names the
// disk of each voter. Votes and acknowledgements from another disk do not count,
// because a disk that was emptied or replaced may lack entries that are already
// committed.
//
// A new group bootstraps: its first leader is elected by all initial voters and
// appends a configuration with their disks. Once each of them has stored it, a
// majority of the voters is a quorum.
//
// Config.MinCopies sets how many voters' disks must have an entry before it is
// committed, if that is more than a majority. An entry that only a majority has is
// chosen: every later leader has it, and the next membership change may follow it,
// but it is neither applied nor acknowledged.
//
// A leader holds a lease while a quorum has recently replied to its messages.
// No other replica can become leader before the lease has expired.
//
// A replica whose store or Replica fails becomes passive: it no longer votes,
// acknowledges or writes, but it still applies entries from the leader.
package quorum
