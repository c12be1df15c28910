// Package fleet is the state that operators change: presets and the active
// one, the service state of data centres, and the VMs of the system. It is
// replicated over the fleet group and reads neither time nor randomness.
package fleet
