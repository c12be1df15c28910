package config

import (
	"strings"
	"testing"
	"time"
)

const cellFile = `[vm]
name = core-a-1
centre = a
region = north
dataDir = /data/core
[listen]
api = 10.0.0.1:8166
peers = 10.0.0.1:7720
[cell]
seeds = 10.0.0.1:8166, 10.0.0.2:8166
found = true
losses = 2
graceSeconds = 6.5
`

// Guards against values in a settings file that are parsed to something else:
// lists, true and false, the number of voters and fractions of seconds.
func TestCellSettings(t *testing.T) {
	ce, err := ParseCell("cell.ini", []byte(cellFile))
	if err != nil {
		t.Fatal(err)
	}
	if len(ce.Seeds()) != 2 || ce.Seeds()[1].String() != "10.0.0.2:8166" || !ce.Bootstrap() || ce.Voters() != 5 || ce.ShutdownTimeout() != 6500*time.Millisecond {
		t.Errorf("seeds %v, bootstrap %v, voters %d, shutdown timeout %v", ce.Seeds(), ce.Bootstrap(), ce.Voters(), ce.ShutdownTimeout())
	}
	if !IsCell([]byte(cellFile)) || IsCell([]byte("[vm]\nname = a\n")) {
		t.Error("IsCell must be true exactly for a file with the section [cell]")
	}
}

// Guards against a lease duration beyond holdMaxMs, the longest one that workers
// support: after the loss of a worker, its tasks would start elsewhere later than
// necessary.
func TestLeaseDurationIsAtMostWhatWorkersSupport(t *testing.T) {
	tests := []struct {
		name, lines string
		want        time.Duration
	}{
		{"defaults", "", 7500 * time.Millisecond},
		{"workers support more", "holdMaxMs = 10000\n", 7500 * time.Millisecond},
		{"workers support less", "holdMaxMs = 6000\n", 6 * time.Second},
		{"set below what workers support", "holdMs = 2000\nholdMaxMs = 6000\n", 2 * time.Second},
	}
	for _, tt := range tests {
		ce, err := ParseCell("cell.ini", []byte(strings.Replace(cellFile, "losses = 2\n", "losses = 2\n"+tt.lines, 1)))
		if err != nil || ce.LeaseDuration() != tt.want {
			t.Errorf("%s: lease duration %v, %v, want %v", tt.name, ce.LeaseDuration(), err, tt.want)
		}
	}
}

// Guards against a VM that starts with an invalid settings file.
func TestCellFaultsAreReported(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"bad seed", "10.0.0.2:8166", "10.0.0.2", "cell.seeds"},
		{"unknown key", "losses = 2", "loses = 2", "cell.loses"},
		{"disk without api", "api = 10.0.0.1:8166\n", "", "listen.api"},
		{"one address twice", "peers = 10.0.0.1:7720", "peers = 10.0.0.1:8166", "listen.peers"},
		{"holdMs out of range", "losses = 2", "holdMs = 1", "cell.holdMs"},
	}
	for _, tt := range tests {
		_, err := ParseCell("cell.ini", []byte(strings.Replace(cellFile, tt.from, tt.to, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want a fault of %s", tt.name, err, tt.want)
		}
	}
}
