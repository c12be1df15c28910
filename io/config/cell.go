package config

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
)

// cellSection is the section that marks the settings of a VM of a cell.
const cellSection = "cell"

// Cell holds the validated settings of a VM of a cell. A cell is a set of data
// centres that share one replicated log; its VMs find each other through the seeds,
// a few VMs with known addresses.
type Cell struct {
	name            model.VMID
	centre          model.CentreID
	region          string
	dataDir         string
	logLevel        string
	listen          CellListen
	seeds           []netip.AddrPort
	bootstrap       bool
	toleratedLosses int
	// leaseDuration is the smaller one of the keys holdMs and holdMaxMs.
	leaseDuration   time.Duration
	paceDelay       time.Duration
	stopTime        time.Duration
	jobRetention    time.Duration
	shutdownTimeout time.Duration
	centres         []model.CentreID
	entries         []Entry
	// memoryMB is 0 if it is not given.
	memoryMB int
	// vmMemoryMB, maxFiles and maxPerAddress are 0 if they are not given.
	vmMemoryMB, maxFiles, maxPerAddress int
	admission                           bool
	// platform is empty if it is not given.
	platform       string
	platformReads  float64
	platformOrders float64
}

// CellListen holds the addresses that a VM of a cell listens on. If the settings
// leave one out, IsValid of that address is false and the VM does not listen on it.
type CellListen struct {
	callers, ready, api, peers, metrics netip.AddrPort
}

// Callers returns the address for callers.
func (li CellListen) Callers() netip.AddrPort { return li.callers }

// Ready returns the address of the readiness check for callers.
func (li CellListen) Ready() netip.AddrPort { return li.ready }

// API returns the address for workers and operators.
func (li CellListen) API() netip.AddrPort { return li.api }

// Peers returns the address for the other VMs of the cell.
func (li CellListen) Peers() netip.AddrPort { return li.peers }

// Metrics returns the address that serves counters and histograms.
func (li CellListen) Metrics() netip.AddrPort { return li.metrics }

// Name returns the name of this VM.
func (ce Cell) Name() model.VMID { return ce.name }

// Centre returns the data centre of this VM.
func (ce Cell) Centre() model.CentreID { return ce.centre }

// Region returns the region of the data centre.
func (ce Cell) Region() string { return ce.region }

// DataDir returns the data directory, and false when this VM has no disk.
func (ce Cell) DataDir() (string, bool) { return ce.dataDir, ce.dataDir != "" }

// LogLevel returns the lowest level of messages that are logged, such as "info".
func (ce Cell) LogLevel() string { return ce.logLevel }

// Listen returns the addresses that this VM listens on.
func (ce Cell) Listen() CellListen { return ce.listen }

// Seeds returns the API addresses of VMs with a disk, through which this VM finds
// the cell.
func (ce Cell) Seeds() []netip.AddrPort { return append([]netip.AddrPort(nil), ce.seeds...) }

// Bootstrap reports whether this VM, if it is a seed with an empty disk, starts a new
// cell with the seeds as voters.
func (ce Cell) Bootstrap() bool { return ce.bootstrap }

// Voters returns the number of voters with which the cell still has a majority after
// the loss of the configured number of VMs.
func (ce Cell) Voters() int { return 2*ce.toleratedLosses + 1 }

// MinCopies returns the number of disks that must have a command before it is
// acknowledged, so that one is left after the loss of the configured number of VMs.
func (ce Cell) MinCopies() int { return ce.toleratedLosses + 1 }

// LeaseDuration returns how long the runs of a worker may go on after it sent the
// last heartbeat that was answered.
func (ce Cell) LeaseDuration() time.Duration { return ce.leaseDuration }

// PaceDelay returns the time from a pace order until the worker applies it.
func (ce Cell) PaceDelay() time.Duration { return ce.paceDelay }

// StopTime returns the longest time from a stop order until the run has ended.
func (ce Cell) StopTime() time.Duration { return ce.stopTime }

// JobRetention returns how long the status of an ended job can be read.
func (ce Cell) JobRetention() time.Duration { return ce.jobRetention }

// ShutdownTimeout returns the longest time that a planned shutdown may take.
func (ce Cell) ShutdownTimeout() time.Duration { return ce.shutdownTimeout }

// Centres returns the data centres in the key centres; empty if it is not given.
func (ce Cell) Centres() []model.CentreID { return append([]model.CentreID(nil), ce.centres...) }

// MemoryMB returns the memory that the process may use, in megabytes; 0 if it is not
// given.
func (ce Cell) MemoryMB() int { return ce.memoryMB }

// Admission reports whether the leader refuses jobs when capacity is short.
func (ce Cell) Admission() bool { return ce.admission }

// VMMemoryMB returns the memory of the VM, in megabytes, from which the memory for
// requests is derived; 0 if it is not given. Unlike MemoryMB, it leaves the garbage
// collector as it is.
func (ce Cell) VMMemoryMB() int { return ce.vmMemoryMB }

// MaxFiles returns the number of file descriptors that the process may have; 0 if it is
// not given.
func (ce Cell) MaxFiles() int { return ce.maxFiles }

// MaxPerAddress returns the number of connections that callers may have open from one
// address; 0 means no bound.
func (ce Cell) MaxPerAddress() int { return ce.maxPerAddress }

// Platform returns the address (host:port) at which the platform lists and maintains its
// machines, empty if it is not given.
func (ce Cell) Platform() string { return ce.platform }

// PlatformReads returns how many reads a second all VMs together may make at the platform.
func (ce Cell) PlatformReads() float64 { return ce.platformReads }

// PlatformOrders returns how many orders a second all VMs together may send to the platform.
func (ce Cell) PlatformOrders() float64 { return ce.platformOrders }

// Entries returns the effective value of every key in the order in which they are
// read.
func (ce Cell) Entries() []Entry { return append([]Entry(nil), ce.entries...) }

// listKey returns a key whose value is a comma-separated list of values of ke. Empty
// elements are ignored.
func listKey[T any](ke key[T]) key[[]T] {
	return key[[]T]{
		name: ke.name, allowed: "a list with commas of: " + ke.allowed, required: ke.required,
		parse: func(text string) ([]T, bool) {
			var out []T
			for part := range strings.SplitSeq(text, ",") {
				if part = strings.TrimSpace(part); part == "" {
					continue
				}
				val, ok := ke.parse(part)
				if !ok {
					return nil, false
				}
				out = append(out, val)
			}
			return out, true
		},
		format: func(vals []T) string {
			var out []string
			for _, val := range vals {
				out = append(out, ke.format(val))
			}
			return strings.Join(out, ",")
		},
	}
}

// flagKey returns a key like that of boolKey that also accepts true and false, for
// settings files that a deployment template fills in.
func flagKey(name string) key[bool] {
	ke := boolKey(name)
	ke.allowed = "yes, no, true or false"
	ke.parse = func(text string) (bool, bool) {
		return text == "yes" || text == "true", text == "yes" || text == "no" || text == "true" || text == "false"
	}
	return ke
}

// secondsKey returns a key whose value is a number of seconds from low to high, which
// may have a fraction.
func secondsKey(name string, def, low, high time.Duration) key[time.Duration] {
	format := func(val time.Duration) string { return strconv.FormatFloat(val.Seconds(), 'f', -1, 64) }
	return key[time.Duration]{
		name: name, allowed: format(low) + " to " + format(high) + " seconds", defaultValue: def,
		parse: func(text string) (time.Duration, bool) {
			num, err := strconv.ParseFloat(text, 64)
			val := time.Duration(num * float64(time.Second))
			return val, err == nil && val >= low && val <= high
		},
		format: format,
	}
}

// The keys of the settings of a VM of a cell, which docs/settings.md describes. Where
// the name of a key is not that of its variable, the variable has the usual term.
var (
	keyCellCallers = optionalAddressKey("callers")
	keyCellReady   = optionalAddressKey("ready")
	keyCellAPI     = optionalAddressKey("api")
	keyCellMetrics = optionalAddressKey("metrics")

	keySeeds = listKey(addressKey("seeds"))
	// "found" stands for founding, or bootstrapping, a cell.
	keyBootstrap = flagKey("found")
	// "losses" is the number of VMs that may be lost at the same time.
	keyToleratedLosses = intKey("losses", 1, 0, 4)
	// "holdMs" is the lease duration of workers, in milliseconds.
	keyLeaseMs = intKey("holdMs", 7500, 500, 60_000)
	// "holdMaxMs" is the longest lease duration that the workers support, in
	// milliseconds. It bounds holdMs.
	keyMaxLeaseMs  = intKey("holdMaxMs", 60_000, 500, 60_000)
	keyPaceDelayMs = intKey("paceDelayMs", 100, 1, 10_000)
	keyStopTimeMs  = intKey("stopTimeMs", 900, 1, 10_000)
	// "keepSeconds" is the retention time of ended jobs.
	keyJobRetention = secondsKey("keepSeconds", 2*time.Minute, time.Second, 24*time.Hour)
	// "graceSeconds" bounds a planned shutdown.
	keyShutdownTimeout = secondsKey("graceSeconds", 30*time.Second, time.Second, time.Hour)
	keyCentres         = listKey(optionalCentreKey())
	keyMemoryMB        = intKey("memoryMb", 0, 0, 1<<20)
	keyAdmission       = boolKey("admission")
	keyVMMemoryMB      = intKey("vmMemoryMb", 0, 0, 1<<20)
	keyMaxFiles        = intKey("maxFiles", 0, 0, 1<<20)
	keyMaxPerAddress   = intKey("maxPerAddress", 0, 0, 1<<20)
	// "platform" is the address of the users' platform, of which the cell is a part.
	keyPlatform       = platformKey("platform")
	keyPlatformReads  = rateKey("platformReadsPerS")
	keyPlatformOrders = rateKey("platformOrdersPerS")
)

// platformKey returns a key whose value is a host and a port, or an http URL of only these,
// and may be left out.
func platformKey(name string) key[string] {
	return key[string]{
		name: name, allowed: "a host and a port from 1 to 65535, such as 10.0.0.1:7000",
		parse: func(text string) (string, bool) {
			if text == "" {
				return "", true
			}
			text = strings.TrimSuffix(strings.TrimPrefix(text, "http://"), "/")
			host, port, err := net.SplitHostPort(text)
			num, numErr := strconv.ParseUint(port, 10, 16)
			return text, err == nil && numErr == nil && num > 0 && host != "" && !strings.ContainsAny(host, "/?#@ ")
		},
		format: func(val string) string { return val },
	}
}

// rateKey returns a key whose value is a number of calls per second, which may have a
// fraction. 0 stands for the default.
func rateKey(name string) key[float64] {
	const low, high, standard = 0.01, 1_000_000, 1
	return key[float64]{
		name: name, allowed: "0, or 0.01 to 1000000", defaultValue: standard,
		parse: func(text string) (float64, bool) {
			val, err := strconv.ParseFloat(text, 64)
			if err == nil && val == 0 {
				return standard, true
			}
			return val, err == nil && val >= low && val <= high
		},
		format: func(val float64) string { return strconv.FormatFloat(val, 'f', -1, 64) },
	}
}

// optionalCentreKey returns the key for one element of the list of data centres,
// which may be left out.
func optionalCentreKey() key[model.CentreID] {
	ke := nameKey[model.CentreID]("centres")
	ke.required = false
	return ke
}

// IsCell reports whether a settings file describes a VM of a cell.
func IsCell(data []byte) bool {
	_, ok := indexLines(data).sections[cellSection]
	return ok
}

// ParseCell validates the settings of a VM of a cell. If some are invalid, the
// error is a *FaultsError with all faults, which refer to the file by its name.
func ParseCell(file string, data []byte) (Cell, error) {
	rdr, err := newReader(file, data)
	if err != nil {
		return Cell{}, err
	}
	ce := rdr.cell()
	rdr.checkUnknown()
	keyByAddress := map[netip.AddrPort]string{}
	rdr.checkAddress(keyByAddress, "listen", "callers", ce.listen.callers)
	rdr.checkAddress(keyByAddress, "listen", "ready", ce.listen.ready)
	rdr.checkAddress(keyByAddress, "listen", "api", ce.listen.api)
	rdr.checkAddress(keyByAddress, "listen", "peers", ce.listen.peers)
	rdr.checkAddress(keyByAddress, "listen", "metrics", ce.listen.metrics)
	if ce.dataDir != "" && !ce.listen.api.IsValid() {
		rdr.addFault("listen", "api", "missing, but the VM has a disk", keyCellAPI.allowed)
	}
	if err := rdr.err(); err != nil {
		return Cell{}, err
	}
	ce.entries = rdr.entries
	return ce, nil
}

// cell reads the keys of a VM of a cell.
func (rdr *reader) cell() Cell {
	var ce Cell
	ce.name = read(rdr, "vm", keyName)
	ce.centre = read(rdr, "vm", keyCentre)
	ce.region = read(rdr, "vm", keyRegion)
	ce.dataDir = read(rdr, "vm", keyDataDir)
	ce.logLevel = read(rdr, "vm", keyLogLevel)
	ce.listen.callers = read(rdr, "listen", keyCellCallers)
	ce.listen.ready = read(rdr, "listen", keyCellReady)
	ce.listen.api = read(rdr, "listen", keyCellAPI)
	ce.listen.peers = read(rdr, "listen", keyPeers)
	ce.listen.metrics = read(rdr, "listen", keyCellMetrics)
	ce.seeds = read(rdr, cellSection, keySeeds)
	ce.bootstrap = read(rdr, cellSection, keyBootstrap)
	ce.toleratedLosses = read(rdr, cellSection, keyToleratedLosses)
	leaseMs, maxLeaseMs := read(rdr, cellSection, keyLeaseMs), read(rdr, cellSection, keyMaxLeaseMs)
	ce.leaseDuration = time.Duration(min(leaseMs, maxLeaseMs)) * time.Millisecond
	ce.paceDelay = time.Duration(read(rdr, cellSection, keyPaceDelayMs)) * time.Millisecond
	ce.stopTime = time.Duration(read(rdr, cellSection, keyStopTimeMs)) * time.Millisecond
	ce.jobRetention = read(rdr, cellSection, keyJobRetention)
	ce.shutdownTimeout = read(rdr, cellSection, keyShutdownTimeout)
	ce.centres = read(rdr, cellSection, keyCentres)
	ce.memoryMB = read(rdr, cellSection, keyMemoryMB)
	ce.admission = read(rdr, cellSection, keyAdmission)
	ce.vmMemoryMB = read(rdr, cellSection, keyVMMemoryMB)
	ce.maxFiles = read(rdr, cellSection, keyMaxFiles)
	ce.maxPerAddress = read(rdr, cellSection, keyMaxPerAddress)
	ce.platform = read(rdr, cellSection, keyPlatform)
	ce.platformReads = read(rdr, cellSection, keyPlatformReads)
	ce.platformOrders = read(rdr, cellSection, keyPlatformOrders)
	return ce
}
