package config

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// maxVMs is the bound that the fleet state has.
const maxVMs = 1000

// checkUnknown reports sections and keys that no part of the program reads,
// keys given twice and lines that are neither.
func (rdr *reader) checkUnknown() {
	for _, pl := range rdr.idx.bad {
		rdr.failAt(pl.line, pl.section, "", "line "+strconv.Quote(pl.key)+" is not a setting", "[section], key = value, or a comment after #")
	}
	for _, pl := range rdr.idx.repeated {
		rdr.failAt(pl.line, pl.section, "", "section is given twice", "each section once")
	}
	for _, section := range rdr.idx.order {
		if rdr.known[section] == nil {
			rdr.failAt(rdr.idx.sections[section], section, "", "section is not known", "vm, listen, limits, cell or vms.NAME")
		}
	}
	seen := map[string]int{}
	for _, pl := range rdr.idx.keys {
		full := pl.section + "." + pl.key
		switch {
		case pl.section == "":
			rdr.failAt(pl.line, "", pl.key, "key is outside a section", "[vm], [listen], [limits] or [vms.NAME] above it")
		case rdr.known[pl.section] == nil:
		case !slices.Contains(rdr.known[pl.section], pl.key):
			rdr.failAt(pl.line, pl.section, pl.key, "key is not known", rdr.keysOf(pl.section))
		case seen[full] > 0:
			rdr.failAt(pl.line, pl.section, pl.key, "key is given twice, first on line "+strconv.Itoa(seen[full]), "each key once")
		default:
			seen[full] = pl.line
		}
	}
}

// keysOf lists the keys of a section in the order in which they are read.
func (rdr *reader) keysOf(section string) string {
	names := rdr.known[section]
	return strings.Join(names[:len(names)-1], ", ") + " or " + names[len(names)-1]
}

// checkTogether reports values that are allowed alone and contradict others.
func (rdr *reader) checkTogether(se Settings) {
	rdr.checkSelf(se)
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

// checkSelf compares this VM with its entry in the list.
func (rdr *reader) checkSelf(se Settings) {
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
