// Package fleet is the state machine for the configuration that operators
// change: the presets and which one is active, the service state of each data
// centre, and the VMs of the system. The fleet consensus group replicates it,
// so it is deterministic and uses neither the clock nor random numbers.
package fleet
