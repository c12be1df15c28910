// Package disk stores the log, the vote and the snapshots of a replica in its data
// directory, or in memory on a VM without a disk. One actor owns the log: it writes
// and syncs together all changes that arrive during a sync. Another actor owns the
// snapshots, so that they do not delay the log.
package disk
