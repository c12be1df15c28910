package config

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// vmPrefix starts the name of the section of each VM.
const vmPrefix = "vms."

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &FileError{file: file, cause: err}
	}
	return Parse(file, data)
}

// Parse validates the content of a settings file. The name is only used to
// report faults, all of which are in the *FaultsError.
func Parse(file string, data []byte) (Settings, error) {
	rdr, err := newReader(file, data)
	if err != nil {
		return Settings{}, err
	}
	se := rdr.settings()
	rdr.checkUnknown()
	rdr.checkTogether(se)
	if err := rdr.err(); err != nil {
		return Settings{}, err
	}
	se.entries = rdr.entries
	return se, nil
}

// newReader returns a reader of the content of a file.
func newReader(file string, data []byte) (*reader, error) {
	idx := indexLines(data)
	ini, err := ini.LoadSources(ini.LoadOptions{
		// Names of VMs contain no dots, so a section has no parent to
		// inherit keys from.
		ChildSectionDelimiter:    "\x00",
		KeyValueDelimiters:       "=",
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
	}, idx.withoutBad(data))
	if err != nil {
		return nil, &FileError{file: file, cause: err}
	}
	return &reader{file: file, ini: ini, idx: idx, known: map[string][]string{}}, nil
}

// err returns the faults in the order of the lines, or nil.
func (rdr *reader) err() error {
	if len(rdr.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(rdr.faults, func(fa, fb Fault) int { return cmp.Compare(fa.line, fb.line) })
	return &FaultsError{faults: rdr.faults}
}

// reader collects values and faults.
type reader struct {
	file    string
	ini     *ini.File
	idx     lineIndex
	faults  []Fault
	entries []Entry
	// known has the keys of each section in the order in which they were
	// asked for.
	known map[string][]string
}

func (rdr *reader) fail(section, name, problem, allowed string) {
	rdr.failAt(rdr.idx.line(section, name), section, name, problem, allowed)
}

func (rdr *reader) failAt(line int, section, name, problem, allowed string) {
	full := strings.Trim(section+"."+name, ".")
	rdr.faults = append(rdr.faults, Fault{file: rdr.file, line: line, key: full, problem: problem, allowed: allowed})
}

// read returns the value of a key and records a fault or the value in effect.
func read[T any](rdr *reader, section string, ke key[T]) T {
	rdr.known[section] = append(rdr.known[section], ke.name)
	sec, err := rdr.ini.GetSection(section)
	given := err == nil && sec.HasKey(ke.name)
	val := ke.def
	switch {
	case given:
		text := sec.Key(ke.name).Value()
		parsed, ok := ke.parse(text)
		if !ok {
			rdr.fail(section, ke.name, "value "+strconv.Quote(text)+" is not allowed", ke.allowed)
			return val
		}
		val = parsed
	case ke.required:
		rdr.fail(section, ke.name, "missing", ke.allowed)
		return val
	}
	rdr.entries = append(rdr.entries, Entry{section: section, key: ke.name, value: ke.show(val), given: given})
	return val
}

func (rdr *reader) settings() Settings {
	var se Settings
	se.name = read(rdr, "vm", keyName)
	se.centre = read(rdr, "vm", keyCentre)
	se.region = read(rdr, "vm", keyRegion)
	se.dataDir = read(rdr, "vm", keyDataDir)
	se.logLevel = read(rdr, "vm", keyLogLevel)
	se.listen.callers = read(rdr, "listen", keyCallers)
	se.listen.api = read(rdr, "listen", keyAPI)
	se.listen.peers = read(rdr, "listen", keyPeers)
	se.limits.slotsPerWorker = read(rdr, "limits", keySlots)
	se.limits.connectionsPerWorker = read(rdr, "limits", keyConnections)
	se.limits.callerConnections = read(rdr, "limits", keyCallerConnections)
	se.limits.timelineEvents = read(rdr, "limits", keyTimeline)
	se.limits.drainSeconds = read(rdr, "limits", keyDrain)
	for _, section := range rdr.idx.order {
		if name, ok := strings.CutPrefix(section, vmPrefix); ok {
			se.vms = append(se.vms, rdr.vm(section, name))
		}
	}
	slices.SortFunc(se.vms, func(va, vb VM) int { return cmp.Compare(va.name, vb.name) })
	return se
}

func (rdr *reader) vm(section, name string) VM {
	vm := VM{
		centre:  read(rdr, section, keyCentre),
		peer:    read(rdr, section, keyPeer),
		api:     read(rdr, section, keyAPI),
		callers: read(rdr, section, keyVMCallers),
		disk:    read(rdr, section, keyDisk),
	}
	parsed, ok := keyName.parse(name)
	if !ok {
		rdr.fail(section, "", "name "+name+" is not allowed", keyName.allowed)
	}
	vm.name = parsed
	return vm
}
