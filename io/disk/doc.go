// Package disk stores the log, the vote and the snapshots of a replica under
// its data directory, or in memory for a VM without a disk. Two actors own the
// files: one the log, so that all changes that arrive during a sync are written
// and synced together, and one the snapshots.
package disk
