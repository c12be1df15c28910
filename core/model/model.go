// Package model has the types that all core packages share: identifiers,
// resource amounts, presets and local monotonic time.
package model

import "time"

// VMID identifies a VM of the scheduler, as opposed to a worker VM.
type VMID string

// CentreID identifies a data centre.
type CentreID string

// WorkerID identifies a worker VM, which runs backend servers and tasks.
type WorkerID string

// BackendID identifies a backend server process.
type BackendID string

// ServiceID identifies a service, which backend servers provide to callers.
type ServiceID string

// TeamID identifies a team, the unit of resource quotas.
type TeamID string

// WorkspaceID identifies a workspace: a customer of a cell who owns jobs.
type WorkspaceID string

// CommandID identifies a command of an operator or client. A command that is sent
// again has the same CommandID.
type CommandID string

// Instant is a time of the local monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of different VMs are not comparable.
type Instant time.Duration

// Add returns the instant in+d.
func (in Instant) Add(d time.Duration) Instant { return in + Instant(d) }

// Sub returns the duration in-other.
func (in Instant) Sub(other Instant) time.Duration { return time.Duration(in - other) }

// Before reports whether in is before other.
func (in Instant) Before(other Instant) bool { return in < other }

// DriftDivisor bounds the clock drift between two VMs: over any duration d, such
// as that of a lease, their clocks differ by at most d/DriftDivisor.
const DriftDivisor = 20

// WithDrift returns d lengthened by the drift bound. It is for the side that
// waits until a lease has ended.
func WithDrift(d time.Duration) time.Duration { return d + d/DriftDivisor }

// LessDrift returns d shortened by the drift bound. It is for the side that
// holds a lease.
func LessDrift(d time.Duration) time.Duration { return d - d/DriftDivisor }
