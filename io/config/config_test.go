package config

import (
	"errors"
	"strings"
	"testing"
)

const validFile = `[vm]
name = riga-a-1
centre = riga-a
region = riga
dataDir = /var/lib/guavarail
[listen]
callers = 127.0.0.1:7000
api = 127.0.0.1:7001 ; comment
peers = 127.0.0.1:7002
[vms.riga-a-1]
centre = riga-a
peer = 10.0.0.1:7002
api = 10.0.0.1:7001
disk = yes
[vms.riga-b-1]
centre = riga-b
peer = 10.0.0.2:7002
api = 10.0.0.2:7001
`

// Guards against a valid file that is rejected or parsed to wrong values, and
// against defaults that Entries leaves out.
func TestValidSettings(t *testing.T) {
	se, err := Parse("a.ini", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if dir, ok := se.DataDir(); !ok || dir != "/var/lib/guavarail" || se.Name() != "riga-a-1" || len(se.VMs()) != 2 {
		t.Errorf("settings %+v", se)
	}
	if se.Listen().API().Port() != 7001 || se.Limits().SlotsPerWorker() != 8 || se.VMs()[1].Disk() {
		t.Errorf("settings %+v", se)
	}
	shown := map[string]Entry{}
	for _, en := range se.Entries() {
		shown[en.Section()+"."+en.Key()] = en
	}
	if en := shown["limits.drainSeconds"]; en.Value() != "35" || en.Given() {
		t.Errorf("drainSeconds is shown as %+v, want the default 35", en)
	}
	if en := shown["listen.api"]; en.Value() != "127.0.0.1:7001" || !en.Given() {
		t.Errorf("listen.api is shown as %+v", en)
	}
}

// Guards against an invalid setting that is accepted, or reported without its
// line, its key and the allowed values.
func TestFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     string
	}{
		"unknown key":         {"region = riga", "region = riga\nregoin = riga", "a.ini:5: vm.regoin: key is not known; use name, centre"},
		"unknown VM key":      {"disk = yes", "disk = yes\ndisc = no", "a.ini:15: vms.riga-a-1.disc: key is not known; use centre, peer, api, callers or disk"},
		"unknown section":     {"[listen]", "[lists]\n[listen]", "a.ini:6: lists: section is not known; use vm, listen"},
		"key twice":           {"region = riga", "region = riga\nregion = riga", "a.ini:5: vm.region: key is given twice, first on line 4; use each key once"},
		"section twice":       {"[vms.riga-b-1]", "[vm]\n[vms.riga-b-1]", "a.ini:15: vm: section is given twice; use each section once"},
		"no value":            {"region = riga", "region riga", `a.ini:4: vm: line "region riga" is not a setting; use [section]`},
		"outside a section":   {"[vm]", "x = 1\n[vm]", "a.ini:1: x: key is outside a section; use [vm]"},
		"missing key":         {"region = riga\n", "", "a.ini:1: vm.region: missing; use 1 to 63"},
		"host name":           {"peers = 127.0.0.1:7002", "peers = localhost:7002", `a.ini:9: listen.peers: value "localhost:7002" is not allowed; use an IP address`},
		"port 0":              {"callers = 127.0.0.1:7000", "callers = 127.0.0.1:0", `a.ini:7: listen.callers: value "127.0.0.1:0" is not allowed`},
		"same address":        {"callers = 127.0.0.1:7000", "callers = 127.0.0.1:7001", "a.ini:8: listen.api: address 127.0.0.1:7001 is also listen.callers; use a different"},
		"same peer address":   {"peer = 10.0.0.2:7002", "peer = 10.0.0.1:7002", "a.ini:17: vms.riga-b-1.peer: address 10.0.0.1:7002 is also vms.riga-a-1.peer"},
		"relative directory":  {"/var/lib/guavarail", "data", `a.ini:5: vm.dataDir: value "data" is not allowed; use an absolute path`},
		"empty directory":     {"/var/lib/guavarail", "", `a.ini:5: vm.dataDir: value "" is not allowed`},
		"disk, no directory":  {"dataDir = /var/lib/guavarail\n", "", "a.ini:1: vm.dataDir: missing, but the VM is listed with a disk; use an absolute"},
		"directory, no disk":  {"disk = yes", "disk = no", "a.ini:5: vm.dataDir: given, but the VM is listed without a disk; use disk = yes"},
		"disk maybe":          {"disk = yes", "disk = maybe", `a.ini:14: vms.riga-a-1.disk: value "maybe" is not allowed; use yes or no`},
		"not in the list":     {"name = riga-a-1", "name = riga-a-9", "a.ini:2: vm.name: VM riga-a-9 is not in the list; use a name"},
		"other data centre":   {"centre = riga-a\nregion", "centre = riga-b\nregion", "a.ini:3: vm.centre: differs from the list of VMs; use riga-a"},
		"VM name":             {"[vms.riga-b-1]", "[vms.Riga B]", "a.ini:15: vms.Riga B: name Riga B is not allowed; use 1 to 63"},
		"log level":           {"region = riga", "region = riga\nlogLevel = loud", `a.ini:5: vm.logLevel: value "loud" is not allowed; use trace, debug`},
		"limit out of range":  {"[listen]", "[limits]\nslotsPerWorker = 0\n[listen]", `a.ini:7: limits.slotsPerWorker: value "0" is not allowed; use 1 to 1000`},
		"limit not a number":  {"[listen]", "[limits]\ndrainSeconds = 1m\n[listen]", `a.ini:7: limits.drainSeconds: value "1m" is not allowed; use 1 to 600`},
		"quoted over lines":   {"region = riga", "region = `riga", "a.ini:4: vm: line \"region = `riga\" is not a setting"},
		"unterminated header": {"[listen]", "[listen", `a.ini:6: vm: line "[listen" is not a setting`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("a.ini", []byte(strings.Replace(validFile, tc.old, tc.new, 1)))
			var fae *FaultsError
			if !errors.As(err, &fae) {
				t.Fatalf("error %v, want a FaultsError", err)
			}
			for _, fa := range fae.Faults() {
				if strings.HasPrefix(fa.String(), tc.want) {
					return
				}
			}
			t.Errorf("faults\n%v\nwant one that starts with\n%s", err, tc.want)
		})
	}
}

// Guards against reporting only the first fault of a file.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("name = riga-a-1", "nam = riga-a-1", "yes", "y", "127.0.0.1:7002", "x").Replace(validFile)
	_, err := Parse("a.ini", []byte(text))
	var fae *FaultsError
	if !errors.As(err, &fae) {
		t.Fatalf("error %v, want a FaultsError", err)
	}
	want := []string{"vm.name", "vm.nam", "listen.peers", "vms.riga-a-1.disk"}
	if len(fae.Faults()) != len(want) {
		t.Fatalf("faults\n%v\nwant those of %v", err, want)
	}
	for i, fa := range fae.Faults() {
		if fa.Key() != want[i] {
			t.Errorf("fault %d is %s, want %s", i, fa.Key(), want[i])
		}
	}
}
