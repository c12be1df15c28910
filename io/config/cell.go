package config

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
)

// cellSection is the section that only the settings of a VM of a cell have.
const cellSection = "cell"

// Cell holds the validated settings of a VM that belongs to a cell: data centres
// that share one replicated log and whose VMs find each other through seeds.
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
	// leaseDuration is at most holdMaxMs, the longest lease that workers grant.
	leaseDuration   time.Duration
	paceDelay       time.Duration
	jobRetention    time.Duration
	shutdownTimeout time.Duration
	centres         []model.CentreID
	entries         []Entry
}

// CellListen holds the addresses that a VM of a cell listens on. An address
// that the settings leave out is not valid, and the VM does not listen on it.
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

// LogLevel returns the least severe level that is logged.
func (ce Cell) LogLevel() string { return ce.logLevel }

// Listen returns the addresses that this VM listens on.
func (ce Cell) Listen() CellListen { return ce.listen }

// Seeds returns the API addresses of VMs with a disk, through which this VM finds
// the cell.
func (ce Cell) Seeds() []netip.AddrPort { return append([]netip.AddrPort(nil), ce.seeds...) }

// Bootstrap reports whether the seeds may bootstrap a new cell.
func (ce Cell) Bootstrap() bool { return ce.bootstrap }

// Voters returns the number of voters that the cell needs to tolerate as many lost
// VMs as configured.
func (ce Cell) Voters() int { return 2*ce.toleratedLosses + 1 }

// LeaseDuration returns how long a worker's tasks may run on after its last report.
func (ce Cell) LeaseDuration() time.Duration { return ce.leaseDuration }

// PaceDelay returns the time from a pace order until the worker applies it.
func (ce Cell) PaceDelay() time.Duration { return ce.paceDelay }

// JobRetention returns how long an ended job can still be queried.
func (ce Cell) JobRetention() time.Duration { return ce.jobRetention }

// ShutdownTimeout returns the bound on a planned shutdown.
func (ce Cell) ShutdownTimeout() time.Duration { return ce.shutdownTimeout }

// Centres returns the data centres that the cell may use; empty means any.
func (ce Cell) Centres() []model.CentreID { return append([]model.CentreID(nil), ce.centres...) }

// Entries returns the effective value of every key in the order in which they are
// read.
func (ce Cell) Entries() []Entry { return append([]Entry(nil), ce.entries...) }

// listKey is a key whose value is a comma-separated list.
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

// flagKey is a boolKey that also accepts true and false, for settings files that a
// deployment template fills in.
func flagKey(name string) key[bool] {
	ke := boolKey(name)
	ke.allowed = "yes, no, true or false"
	ke.parse = func(text string) (bool, bool) {
		return text == "yes" || text == "true", text == "yes" || text == "no" || text == "true" || text == "false"
	}
	return ke
}

// secondsKey is a duration in seconds, which may have a fraction.
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

// The keys of the settings of a cell, which docs/settings.md describes.
var (
	keyCellCallers = optionalAddressKey("callers")
	keyCellReady   = optionalAddressKey("ready")
	keyCellAPI     = optionalAddressKey("api")
	keyCellMetrics = optionalAddressKey("metrics")

	keySeeds           = listKey(addressKey("seeds"))
	keyBootstrap       = flagKey("found")
	keyToleratedLosses = intKey("losses", 1, 0, 4)
	keyLeaseMs         = intKey("holdMs", 7500, 500, 60_000)
	// keyMaxLeaseMs is the longest lease that workers grant; it bounds holdMs.
	keyMaxLeaseMs      = intKey("holdMaxMs", 60_000, 500, 60_000)
	keyPaceDelayMs     = intKey("paceDelayMs", 100, 1, 10_000)
	keyJobRetention    = secondsKey("keepSeconds", 2*time.Minute, time.Second, 24*time.Hour)
	keyShutdownTimeout = secondsKey("graceSeconds", 30*time.Second, time.Second, time.Hour)
	keyCentres         = listKey(optionalCentreKey())
)

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
	taken := map[netip.AddrPort]string{}
	rdr.checkAddress(taken, "listen", "callers", ce.listen.callers)
	rdr.checkAddress(taken, "listen", "ready", ce.listen.ready)
	rdr.checkAddress(taken, "listen", "api", ce.listen.api)
	rdr.checkAddress(taken, "listen", "peers", ce.listen.peers)
	rdr.checkAddress(taken, "listen", "metrics", ce.listen.metrics)
	if ce.dataDir != "" && !ce.listen.api.IsValid() {
		rdr.fail("listen", "api", "missing, but the VM has a disk", keyCellAPI.allowed)
	}
	if err := rdr.err(); err != nil {
		return Cell{}, err
	}
	ce.entries = rdr.entries
	return ce, nil
}

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
	ce.jobRetention = read(rdr, cellSection, keyJobRetention)
	ce.shutdownTimeout = read(rdr, cellSection, keyShutdownTimeout)
	ce.centres = read(rdr, cellSection, keyCentres)
	return ce
}
