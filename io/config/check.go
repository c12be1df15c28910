package config

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// maxVMs is the largest number of VMs that the fleet state (package fleet) accepts.
const maxVMs = 1000

// checkUnknown reports unknown sections and keys, those that are given twice, and
// malformed lines. It must run after all keys have been read: the known sections and
// keys are those in readKeys, to which each read adds its key.
func (rdr *reader) checkUnknown() {
	for _, loc := range rdr.idx.malformed {
		rdr.addFaultAt(loc.line, loc.section, "", "line "+strconv.Quote(loc.key)+" is not a setting", "[section], key = value, or a comment after #")
	}
	for _, loc := range rdr.idx.repeatedSections {
		rdr.addFaultAt(loc.line, loc.section, "", "section is given twice", "each section once")
	}
	for _, section := range rdr.idx.sectionOrder {
		if rdr.readKeys[section] == nil {
			rdr.addFaultAt(rdr.idx.sections[section], section, "", "section is not known", "vm, listen, limits, cell or vms.NAME")
		}
	}
	seen := map[string]int{}
	for _, loc := range rdr.idx.keys {
		full := loc.section + "." + loc.key
		switch {
		case loc.section == "":
			rdr.addFaultAt(loc.line, "", loc.key, "key is outside a section", "[vm], [listen], [limits] or [vms.NAME] above it")
		case rdr.readKeys[loc.section] == nil:
			// The unknown section was reported above.
		case !slices.Contains(rdr.readKeys[loc.section], loc.key):
			rdr.addFaultAt(loc.line, loc.section, loc.key, "key is not known", rdr.allowedKeys(loc.section))
		case seen[full] > 0:
			rdr.addFaultAt(loc.line, loc.section, loc.key, "key is given twice, first on line "+strconv.Itoa(seen[full]), "each key once")
		default:
			seen[full] = loc.line
		}
	}
}

// allowedKeys returns the names of the keys of a section as a list for the text of a
// fault. At least one key of the section must have been read.
func (rdr *reader) allowedKeys(section string) string {
	names := rdr.readKeys[section]
	return strings.Join(names[:len(names)-1], ", ") + " or " + names[len(names)-1]
}

// checkConsistency reports values that are valid on their own, but contradict one
// another, and a list of too many VMs.
func (rdr *reader) checkConsistency(se Settings) {
	rdr.checkOwnSection(se)
	if len(se.vms) > maxVMs {
		rdr.addFaultAt(0, "vms", "", strconv.Itoa(len(se.vms))+" VMs are listed", "at most "+strconv.Itoa(maxVMs))
	}
	keyByAddress := map[netip.AddrPort]string{}
	for _, vm := range se.vms {
		section := vmPrefix + string(vm.name)
		rdr.checkAddress(keyByAddress, section, "peer", vm.peer)
		rdr.checkAddress(keyByAddress, section, "api", vm.api)
		rdr.checkAddress(keyByAddress, section, "callers", vm.callers)
	}
	// The addresses in [listen] must differ only from one another: they may equal those
	// of this VM in its [vms.NAME] section.
	keyByAddress = map[netip.AddrPort]string{}
	rdr.checkAddress(keyByAddress, "listen", "callers", se.listen.callers)
	rdr.checkAddress(keyByAddress, "listen", "api", se.listen.api)
	rdr.checkAddress(keyByAddress, "listen", "peers", se.listen.peers)
}

// checkAddress reports a fault if another key has the same address. keyByAddress maps
// each address that was checked before to its key; checkAddress adds adr. It ignores
// an address that is not valid, since that key was left out or has a fault already.
func (rdr *reader) checkAddress(keyByAddress map[netip.AddrPort]string, section, name string, adr netip.AddrPort) {
	if !adr.IsValid() {
		return
	}
	if first, ok := keyByAddress[adr]; ok {
		rdr.addFault(section, name, "address "+adr.String()+" is also "+first, "a different address for each")
		return
	}
	keyByAddress[adr] = section + "." + name
}

// checkOwnSection compares the settings of this VM with its [vms.NAME] section.
func (rdr *reader) checkOwnSection(se Settings) {
	if se.name == "" {
		return
	}
	for _, vm := range se.vms {
		if vm.name != se.name {
			continue
		}
		if se.centre != "" && vm.centre != "" && se.centre != vm.centre {
			rdr.addFault("vm", "centre", "differs from the list of VMs", string(vm.centre)+", as in ["+vmPrefix+string(vm.name)+"]")
		}
		if vm.disk && se.dataDir == "" {
			rdr.addFault("vm", "dataDir", "missing, but the VM is listed with a disk", keyDataDir.allowed+", and disk = no")
		}
		if !vm.disk && se.dataDir != "" {
			rdr.addFault("vm", "dataDir", "given, but the VM is listed without a disk", "disk = yes in ["+vmPrefix+string(vm.name)+"], or leave dataDir out")
		}
		return
	}
	rdr.addFault("vm", "name", "VM "+string(se.name)+" is not in the list", "a name that has a section ["+vmPrefix+"NAME]")
}
