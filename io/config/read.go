package config

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// vmPrefix is the first part of the section name of each listed VM; its name follows.
const vmPrefix = "vms."

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &FileError{file: file, cause: err}
	}
	return Parse(file, data)
}

// Parse validates the content of a settings file. If some settings are invalid,
// the error is a *FaultsError with all faults, which refer to the file by its
// name.
func Parse(file string, data []byte) (Settings, error) {
	rdr, err := newReader(file, data)
	if err != nil {
		return Settings{}, err
	}
	se := rdr.settings()
	rdr.checkUnknown()
	rdr.checkConsistency(se)
	if err := rdr.err(); err != nil {
		return Settings{}, err
	}
	se.entries = rdr.entries
	return se, nil
}

// newReader returns a reader of data, the content of a settings file.
func newReader(file string, data []byte) (*reader, error) {
	idx := indexLines(data)
	ini, err := ini.LoadSources(ini.LoadOptions{
		// By default, the section "vms.a" would inherit the keys of "vms". Names
		// do not contain this delimiter, so no section has a parent.
		ChildSectionDelimiter:    "\x00",
		KeyValueDelimiters:       "=",
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
	}, idx.blankMalformed(data))
	if err != nil {
		return nil, &FileError{file: file, cause: err}
	}
	return &reader{file: file, ini: ini, idx: idx, readKeys: map[string][]string{}}, nil
}

// err returns a FaultsError with the faults in the order of their lines, or nil.
func (rdr *reader) err() error {
	if len(rdr.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(rdr.faults, func(fa, fb Fault) int { return cmp.Compare(fa.line, fb.line) })
	return &FaultsError{faults: rdr.faults}
}

// reader reads the keys of a settings file and collects their effective values
// and the faults.
type reader struct {
	file    string
	ini     *ini.File
	idx     lineIndex
	faults  []Fault
	entries []Entry
	// readKeys has the names of the keys that were read in each section, in the
	// order of reading.
	readKeys map[string][]string
}

// addFault records a fault at the line of a key, or of its section if the key is
// missing.
func (rdr *reader) addFault(section, name, problem, allowed string) {
	rdr.addFaultAt(rdr.idx.line(section, name), section, name, problem, allowed)
}

// addFaultAt records a fault at the given line. section and name may be empty.
func (rdr *reader) addFaultAt(line int, section, name, problem, allowed string) {
	full := strings.Trim(section+"."+name, ".")
	rdr.faults = append(rdr.faults, Fault{file: rdr.file, line: line, key: full, problem: problem, allowed: allowed})
}

// read returns the value of a key, or its default if the file does not have the key.
// It records the value as an Entry. If the value is not accepted or a required key is
// missing, it records a fault and returns the default.
func read[T any](rdr *reader, section string, ke key[T]) T {
	rdr.readKeys[section] = append(rdr.readKeys[section], ke.name)
	sec, err := rdr.ini.GetSection(section)
	given := err == nil && sec.HasKey(ke.name)
	val := ke.defaultValue
	switch {
	case given:
		text := sec.Key(ke.name).Value()
		parsed, ok := ke.parse(text)
		if !ok {
			rdr.addFault(section, ke.name, "value "+strconv.Quote(text)+" is not allowed", ke.allowed)
			return val
		}
		val = parsed
	case ke.required:
		rdr.addFault(section, ke.name, "missing", ke.allowed)
		return val
	}
	rdr.entries = append(rdr.entries, Entry{section: section, key: ke.name, value: ke.format(val), given: given})
	return val
}

// settings reads the keys of a VM that is not part of a cell.
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
	se.limits.slotsPerWorker = read(rdr, "limits", keySlotsPerWorker)
	se.limits.connectionsPerWorker = read(rdr, "limits", keyConnectionsPerWorker)
	se.limits.callerConnections = read(rdr, "limits", keyCallerConnections)
	se.limits.timelineEvents = read(rdr, "limits", keyTimelineEvents)
	se.limits.drainSeconds = read(rdr, "limits", keyDrainSeconds)
	se.limits.vmMemoryMB = read(rdr, "limits", keyVMMemoryMB)
	se.limits.maxFiles = read(rdr, "limits", keyMaxFiles)
	for _, section := range rdr.idx.sectionOrder {
		if name, ok := strings.CutPrefix(section, vmPrefix); ok {
			se.vms = append(se.vms, rdr.vm(section, name))
		}
	}
	slices.SortFunc(se.vms, func(va, vb VM) int { return cmp.Compare(va.name, vb.name) })
	return se
}

// vm reads the section of a listed VM.
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
		rdr.addFault(section, "", "name "+name+" is not allowed", keyName.allowed)
	}
	vm.name = parsed
	return vm
}
