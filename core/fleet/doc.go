// Package fleet is the state machine for the configuration that operators
// change: the presets and which one is active, the service state of each data
// centre (in or out of service), and the VMs of the system with their roles. The
// fleet group, the replication group that spans all data centres, replicates it, so
// it is deterministic and uses neither the clock nor random numbers.
//
// A Command is accepted only if it requests the next configuration number, so that of
// several commands sent at the same time one is accepted, and if its Action is possible
// in the current state. The answer to an accepted command is a Change, which takes that
// number; the answer to any other is a RejectedError. The latest answers are stored by
// command identifier, so that a resent command is answered and not executed again.
package fleet
