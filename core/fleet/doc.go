// Package fleet is the state machine for the configuration that operators
// change: the presets and which one is active, the service state of each data
// centre (in or out of service), and the VMs of the system with their roles. The
// fleet group, the consensus group that spans all data centres, replicates it, so
// it is deterministic and uses neither the clock nor random numbers.
//
// A Command is executed in two steps. It is accepted only if it has the next
// configuration number, so that of several commands sent at the same time one is
// accepted, and if its Action applies to the state. Accepted commands become a
// Change; the others get a RejectedError. The latest answers are stored by command
// identifier, so that a command that is sent again is answered, not executed.
package fleet
