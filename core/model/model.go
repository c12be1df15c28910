// Package model holds the values that all core packages share: identifiers,
// resource amounts and the local monotonic time that decisions take as an
// argument.
package model

import "time"

// VMID names a VM of the system.
type VMID string

// CentreID names a data centre.
type CentreID string

// WorkerID names a worker VM of the platform.
type WorkerID string

// BackendID names one backend server process.
type BackendID string

// ServiceID names a service, such as the hire desk.
type ServiceID string

// TeamID names a team with quotas.
type TeamID string

// CommandID identifies an operator or client command across resends.
type CommandID string

// Instant is a reading of the local monotonic clock. Readings of different
// VMs are not comparable.
type Instant time.Duration

// Add returns the instant that lies d after in.
func (in Instant) Add(d time.Duration) Instant { return in + Instant(d) }

// Sub returns the time from other to in.
func (in Instant) Sub(other Instant) time.Duration { return time.Duration(in - other) }

// Before reports whether in lies before other.
func (in Instant) Before(other Instant) bool { return in < other }

// DriftDivisor bounds the clock drift between two VMs over one lease: clocks
// may differ by one part in DriftDivisor.
const DriftDivisor = 20

// WithDrift returns d lengthened by the drift bound. The side that waits for a
// lease to be over uses it.
func WithDrift(d time.Duration) time.Duration { return d + d/DriftDivisor }

// LessDrift returns d shortened by the drift bound. The side that holds a
// lease uses it.
func LessDrift(d time.Duration) time.Duration { return d - d/DriftDivisor }
