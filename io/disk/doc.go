// Package disk stores the durable state of a consensus replica, which is its hard state
// (term and vote), its log and its newest snapshot, in its data directory, or in memory
// on a VM without a disk. One actor owns the log: it writes and syncs together all
// changes that arrive during a sync. Another actor owns the snapshots, so that they do
// not delay the log. The package also records in the data directory that a process ended
// in a planned shutdown.
package disk
