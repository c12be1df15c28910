package config

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
)

// cellSection marks the settings of a VM of a cell.
const cellSection = "cell"

// Cell are the validated settings of a VM that belongs to a cell: a group of
// data centres with one log, whose VMs find each other through seeds.
type Cell struct {
	name     model.VMID
	centre   model.CentreID
	region   string
	dataDir  string
	logLevel string
	listen   CellListen
	seeds    []netip.AddrPort
	found    bool
	losses   int
	// hold is not above what workers grant.
	hold      time.Duration
	paceDelay time.Duration
	keep      time.Duration
	grace     time.Duration
	centres   []model.CentreID
	entries   []Entry
}

// CellListen holds the addresses that a VM of a cell listens on. Those that are
// not valid are not served.
type CellListen struct {
	callers, ready, api, peers, metrics netip.AddrPort
}

// Callers returns the address for callers.
func (li CellListen) Callers() netip.AddrPort { return li.callers }

// Ready returns the address that answers whether the VM takes callers.
func (li CellListen) Ready() netip.AddrPort { return li.ready }

// API returns the address for workers and operators.
func (li CellListen) API() netip.AddrPort { return li.api }

// Peers returns the address for the other VMs of the cell.
func (li CellListen) Peers() netip.AddrPort { return li.peers }

// Metrics returns the address of counters and histograms.
func (li CellListen) Metrics() netip.AddrPort { return li.metrics }

// Name returns the name of this VM.
func (ce Cell) Name() model.VMID { return ce.name }

// Centre returns the data centre of this VM.
func (ce Cell) Centre() model.CentreID { return ce.centre }

// Region returns the region of the data centre.
func (ce Cell) Region() string { return ce.region }

// DataDir returns the data directory, and false when this VM has no disk.
func (ce Cell) DataDir() (string, bool) { return ce.dataDir, ce.dataDir != "" }

// LogLevel returns the lowest level that is logged.
func (ce Cell) LogLevel() string { return ce.logLevel }

// Listen returns the addresses that this VM listens on.
func (ce Cell) Listen() CellListen { return ce.listen }

// Seeds returns the API addresses of some VMs with a disk.
func (ce Cell) Seeds() []netip.AddrPort { return append([]netip.AddrPort(nil), ce.seeds...) }

// Bootstrap reports whether the cell starts for the first time.
func (ce Cell) Bootstrap() bool { return ce.found }

// Voters returns the wanted number of voters.
func (ce Cell) Voters() int { return 2*ce.losses + 1 }

// LeaseDuration returns how long the tasks of a worker outlive its last report.
func (ce Cell) LeaseDuration() time.Duration { return ce.hold }

// PaceDelay returns how long after its order a worker applies a pace.
func (ce Cell) PaceDelay() time.Duration { return ce.paceDelay }

// JobRetention returns how long an ended job can be asked for.
func (ce Cell) JobRetention() time.Duration { return ce.keep }

// ShutdownTimeout returns the longest time that a planned shutdown may take.
func (ce Cell) ShutdownTimeout() time.Duration { return ce.grace }

// Centres returns the data centres of the cell; empty means any.
func (ce Cell) Centres() []model.CentreID { return append([]model.CentreID(nil), ce.centres...) }

// Entries returns the effective value of every key.
func (ce Cell) Entries() []Entry { return append([]Entry(nil), ce.entries...) }

// listKey is a key with values between commas.
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
		show: func(vals []T) string {
			var out []string
			for _, val := range vals {
				out = append(out, ke.show(val))
			}
			return strings.Join(out, ",")
		},
	}
}

// flagKey takes true and false beside yes and no.
func flagKey(name string) key[bool] {
	ke := boolKey(name)
	ke.allowed = "yes, no, true or false"
	ke.parse = func(text string) (bool, bool) {
		return text == "yes" || text == "true", text == "yes" || text == "no" || text == "true" || text == "false"
	}
	return ke
}

// secondsKey is a time in seconds with a fraction.
func secondsKey(name string, def, low, high time.Duration) key[time.Duration] {
	show := func(val time.Duration) string { return strconv.FormatFloat(val.Seconds(), 'f', -1, 64) }
	return key[time.Duration]{
		name: name, allowed: show(low) + " to " + show(high) + " seconds", def: def,
		parse: func(text string) (time.Duration, bool) {
			num, err := strconv.ParseFloat(text, 64)
			val := time.Duration(num * float64(time.Second))
			return val, err == nil && val >= low && val <= high
		},
		show: show,
	}
}

// The keys of a cell. docs/settings.md describes them.
var (
	keyCellCallers = optionalAddressKey("callers")
	keyCellReady   = optionalAddressKey("ready")
	keyCellAPI     = optionalAddressKey("api")
	keyCellMetrics = optionalAddressKey("metrics")

	keySeeds  = listKey(addressKey("seeds"))
	keyFound  = flagKey("found")
	keyLosses = intKey("losses", 1, 0, 4)
	keyHold   = intKey("holdMs", 7500, 500, 60_000)
	// keyHoldMost bounds holdMs where workers grant no longer leases.
	keyHoldMost  = intKey("holdMaxMs", 60_000, 500, 60_000)
	keyPaceDelay = intKey("paceDelayMs", 100, 1, 10_000)
	keyKeep      = secondsKey("keepSeconds", 2*time.Minute, time.Second, 24*time.Hour)
	keyGrace     = secondsKey("graceSeconds", 30*time.Second, time.Second, time.Hour)
	keyCentres   = listKey(optionalCentre())
)

func optionalCentre() key[model.CentreID] {
	ke := nameKey[model.CentreID]("centres")
	ke.required = false
	return ke
}

// IsCell reports whether a settings file describes a VM of a cell.
func IsCell(data []byte) bool {
	_, ok := indexLines(data).sections[cellSection]
	return ok
}

// ParseCell validates the settings of a VM of a cell. The name is only used to
// report faults, all of which are in the *FaultsError.
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
	ce.found = read(rdr, cellSection, keyFound)
	ce.losses = read(rdr, cellSection, keyLosses)
	hold, most := read(rdr, cellSection, keyHold), read(rdr, cellSection, keyHoldMost)
	ce.hold = time.Duration(min(hold, most)) * time.Millisecond
	ce.paceDelay = time.Duration(read(rdr, cellSection, keyPaceDelay)) * time.Millisecond
	ce.keep = read(rdr, cellSection, keyKeep)
	ce.grace = read(rdr, cellSection, keyGrace)
	ce.centres = read(rdr, cellSection, keyCentres)
	return ce
}
