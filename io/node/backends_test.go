package node

import (
	"testing"

	"guavarail/io/wire"
)

// Guards against one odd announcement of another VM that makes each entry VM use a server
// which no request can reach, or count with slots that no worker has.
func TestOddAnnouncementOfAnotherVMIsDropped(t *testing.T) {
	sound := func() *wire.BackendAnnouncement {
		return &wire.BackendAnnouncement{Backend: "b-1", Service: "desk", Worker: "w-1", Address: "127.0.0.1:80", Slots: 8, Connections: 64, AgeMs: 20}
	}
	if _, _, err := readAnnouncement(sound()); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(ann *wire.BackendAnnouncement){
		"port out of range": func(ann *wire.BackendAnnouncement) { ann.Address = "127.0.0.1:70000" },
		"port 0":            func(ann *wire.BackendAnnouncement) { ann.Address = "127.0.0.1:0" },
		"host name":         func(ann *wire.BackendAnnouncement) { ann.Address = "somewhere:80" },
		"slots":             func(ann *wire.BackendAnnouncement) { ann.Slots = 1 << 31 },
		"connections":       func(ann *wire.BackendAnnouncement) { ann.Connections = 1 << 31 },
		"service":           func(ann *wire.BackendAnnouncement) { ann.Service = "" },
		"worker":            func(ann *wire.BackendAnnouncement) { ann.Worker = "a b" },
	} {
		ann := sound()
		spoil(ann)
		if _, _, err := readAnnouncement(ann); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
