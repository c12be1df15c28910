package config

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// maxVMs is the largest number of VMs in the fleet state.
const maxVMs = 1000

// checkUnknown reports sections and keys that the program does not have, those
// given twice, and malformed lines. It runs after all keys have been read.
func (rdr *reader) checkUnknown() {
	for _, loc := range rdr.idx.malformed {
		rdr.failAt(loc.line, loc.section, "", "line "+strconv.Quote(loc.key)+" is not a setting", "[section], key = value, or a comment after #")
	}
	for _, loc := range rdr.idx.repeatedSections {
		rdr.failAt(loc.line, loc.section, "", "section is given twice", "each section once")
	}
	for _, section := range rdr.idx.sectionOrder {
		if rdr.readKeys[section] == nil {
			rdr.failAt(rdr.idx.sections[section], section, "", "section is not known", "vm, listen, limits, cell or vms.NAME")
		}
	}
	seen := map[string]int{}
	for _, loc := range rdr.idx.keys {
		full := loc.section + "." + loc.key
		switch {
		case loc.section == "":
			rdr.failAt(loc.line, "", loc.key, "key is outside a section", "[vm], [listen], [limits] or [vms.NAME] above it")
		case rdr.readKeys[loc.section] == nil:
		case !slices.Contains(rdr.readKeys[loc.section], loc.key):
			rdr.failAt(loc.line, loc.section, loc.key, "key is not known", rdr.allowedKeys(loc.section))
		case seen[full] > 0:
			rdr.failAt(loc.line, loc.section, loc.key, "key is given twice, first on line "+strconv.Itoa(seen[full]), "each key once")
		default:
			seen[full] = loc.line
		}
	}
}

// allowedKeys lists the keys of a section, in the order of reading, for the text
// of a fault.
func (rdr *reader) allowedKeys(section string) string {
	names := rdr.readKeys[section]
	return strings.Join(names[:len(names)-1], ", ") + " or " + names[len(names)-1]
}

// checkConsistency reports values that are each valid and contradict one another.
func (rdr *reader) checkConsistency(se Settings) {
	rdr.checkOwnEntry(se)
	if len(se.vms) > maxVMs {
		rdr.failAt(0, "vms", "", strconv.Itoa(len(se.vms))+" VMs are listed", "at most "+strconv.Itoa(maxVMs))
	}
	taken := map[netip.AddrPort]string{}
	for _, vm := range se.vms {
		section := vmPrefix + string(vm.name)
		rdr.checkAddress(taken, section, "peer", vm.peer)
		rdr.checkAddress(taken, section, "api", vm.api)
		rdr.checkAddress(taken, section, "callers", vm.callers)
	}
	taken = map[netip.AddrPort]string{}
	rdr.checkAddress(taken, "listen", "callers", se.listen.callers)
	rdr.checkAddress(taken, "listen", "api", se.listen.api)
	rdr.checkAddress(taken, "listen", "peers", se.listen.peers)
}

// checkAddress reports an address that taken has already, and adds it to taken.
// taken maps each address to the key that it was given for.
func (rdr *reader) checkAddress(taken map[netip.AddrPort]string, section, name string, adr netip.AddrPort) {
	if !adr.IsValid() {
		return
	}
	if first, ok := taken[adr]; ok {
		rdr.fail(section, name, "address "+adr.String()+" is also "+first, "a different address for each")
		return
	}
	taken[adr] = section + "." + name
}

// checkOwnEntry compares the settings of this VM with its [vms.NAME] section.
func (rdr *reader) checkOwnEntry(se Settings) {
	if se.name == "" {
		return
	}
	for _, vm := range se.vms {
		if vm.name != se.name {
			continue
		}
		if se.centre != "" && vm.centre != "" && se.centre != vm.centre {
			rdr.fail("vm", "centre", "differs from the list of VMs", string(vm.centre)+", as in ["+vmPrefix+string(vm.name)+"]")
		}
		if vm.disk && se.dataDir == "" {
			rdr.fail("vm", "dataDir", "missing, but the VM is listed with a disk", keyDataDir.allowed+", and disk = no")
		}
		if !vm.disk && se.dataDir != "" {
			rdr.fail("vm", "dataDir", "given, but the VM is listed without a disk", "disk = yes in ["+vmPrefix+string(vm.name)+"], or leave dataDir out")
		}
		return
	}
	rdr.fail("vm", "name", "VM "+string(se.name)+" is not in the list", "a name that has a section ["+vmPrefix+"NAME]")
}
