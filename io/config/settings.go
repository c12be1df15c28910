// Package config reads the settings of a VM from an INI file and validates them.
// It reports all faults of a file together.
//
// There are two kinds of files. One with a section [cell] is for a VM of a cell,
// read by ParseCell. Any other file is read by Load; it lists all VMs of the system
// in sections [vms.NAME].
package config

import (
	"net/netip"
	"time"

	"guavarail/core/model"
)

// Settings holds the validated settings of one VM that is not part of a cell.
type Settings struct {
	name     model.VMID
	centre   model.CentreID
	region   string
	dataDir  string
	logLevel string
	listen   Listen
	limits   Limits
	// vms lists all VMs of the system, including this one, sorted by name.
	vms     []VM
	entries []Entry
}

// Name returns the name of this VM.
func (se Settings) Name() model.VMID { return se.name }

// Centre returns the data centre of this VM.
func (se Settings) Centre() model.CentreID { return se.centre }

// Region returns the region of the data centre.
func (se Settings) Region() string { return se.region }

// DataDir returns the data directory, and false when this VM has no disk.
func (se Settings) DataDir() (string, bool) { return se.dataDir, se.dataDir != "" }

// LogLevel returns the lowest level of messages that are logged, such as "info".
func (se Settings) LogLevel() string { return se.logLevel }

// Listen returns the addresses that this VM listens on.
func (se Settings) Listen() Listen { return se.listen }

// Limits returns the limits of this VM.
func (se Settings) Limits() Limits { return se.limits }

// VMs returns a copy of the list of all VMs, sorted by name.
func (se Settings) VMs() []VM { return append([]VM(nil), se.vms...) }

// Entries returns the effective value of every key, in the order in which they
// are read.
func (se Settings) Entries() []Entry { return append([]Entry(nil), se.entries...) }

// Listen holds the addresses that a VM listens on.
type Listen struct {
	callers netip.AddrPort
	api     netip.AddrPort
	peers   netip.AddrPort
}

// Callers returns the address at which callers send requests.
func (li Listen) Callers() netip.AddrPort { return li.callers }

// API returns the address of the HTTP API.
func (li Listen) API() netip.AddrPort { return li.api }

// Peers returns the address for the other VMs.
func (li Listen) Peers() netip.AddrPort { return li.peers }

// Limits holds the limits of a VM and the defaults for the limits of backend
// servers.
type Limits struct {
	slotsPerWorker       int
	connectionsPerWorker int
	callerConnections    int
	timelineEvents       int
	drainSeconds         int
	// vmMemoryMB and maxFiles are 0 if they are not given.
	vmMemoryMB, maxFiles int
}

// SlotsPerWorker returns the number of requests that a backend server runs at
// once, unless its announcement has another number.
func (li Limits) SlotsPerWorker() int { return li.slotsPerWorker }

// ConnectionsPerWorker returns the number of connections that a backend server
// accepts from all VMs together, unless its announcement has another number.
func (li Limits) ConnectionsPerWorker() int { return li.connectionsPerWorker }

// CallerConnections returns the largest number of open connections of callers to
// this VM.
func (li Limits) CallerConnections() int { return li.callerConnections }

// VMMemoryMB returns the memory of the VM, in megabytes, from which the memory for
// requests to the API and for links is derived; 0 if it is not given.
func (li Limits) VMMemoryMB() int { return li.vmMemoryMB }

// MaxFiles returns the number of file descriptors for the API; 0 if it is not given.
func (li Limits) MaxFiles() int { return li.maxFiles }

// TimelineEvents returns the number of timeline events that this VM stores; older
// ones are overwritten.
func (li Limits) TimelineEvents() int { return li.timelineEvents }

// DrainTimeout returns the longest time for which a VM that shuts down waits for
// requests in flight.
func (li Limits) DrainTimeout() time.Duration { return time.Duration(li.drainSeconds) * time.Second }

// VM is one VM of the system, as listed in the settings.
type VM struct {
	name   model.VMID
	centre model.CentreID
	peer   netip.AddrPort
	api    netip.AddrPort
	// callers is not valid when the settings leave it out.
	callers netip.AddrPort
	disk    bool
}

// Name returns the name of the VM.
func (vm VM) Name() model.VMID { return vm.name }

// Centre returns the data centre of the VM.
func (vm VM) Centre() model.CentreID { return vm.centre }

// Peer returns the address that other VMs connect to.
func (vm VM) Peer() netip.AddrPort { return vm.peer }

// API returns the address of the HTTP API of the VM.
func (vm VM) API() netip.AddrPort { return vm.api }

// Callers returns the address at which the VM accepts requests that other VMs
// forward to it, and false when the settings leave it out.
func (vm VM) Callers() (netip.AddrPort, bool) { return vm.callers, vm.callers.IsValid() }

// Disk reports whether the VM has a disk.
func (vm VM) Disk() bool { return vm.disk }

// Entry is the effective value of one key.
type Entry struct {
	section string
	key     string
	value   string
	given   bool
}

// Section returns the section of the key.
func (en Entry) Section() string { return en.section }

// Key returns the name of the key.
func (en Entry) Key() string { return en.key }

// Value returns the value in effect.
func (en Entry) Value() string { return en.value }

// Given reports whether the file has the key; otherwise the value is the
// default.
func (en Entry) Given() bool { return en.given }
