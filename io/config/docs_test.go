package config

import (
	"os"
	"strings"
	"testing"
)

// Guards against keys, defaults or examples in docs/settings.md that differ from
// those of the program.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	text, cell, _ := strings.Cut(string(page), "# Settings of a VM of a cell\n")
	checkCellPage(t, cell)
	start := strings.Index(text, "```ini\n") + len("```ini\n")
	se, err := Parse("settings.md", []byte(text[start:start+strings.Index(text[start:], "```")]))
	if err != nil {
		t.Fatalf("the example is not accepted: %v", err)
	}
	rows := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if cells := strings.Split(line, " | "); len(cells) > 2 && strings.HasPrefix(line, "| `") {
			rows[strings.Trim(cells[0], "|` ")] = strings.Trim(cells[1], "`")
		}
	}
	existing := map[string]bool{}
	for _, en := range se.Entries() {
		existing[en.Key()] = true
		if def, ok := rows[en.Key()]; !ok || !en.Given() && en.Value() != def && def != "none" {
			t.Errorf("key %s with value %q is documented with default %q", en.Key(), en.Value(), def)
		}
	}
	for name := range rows {
		if !existing[name] {
			t.Errorf("key %s is documented and does not exist", name)
		}
	}
}

// checkCellPage checks text, the part of the page about a VM of a cell, in the same
// way. Keys of other sections than [cell] need not be repeated there.
func checkCellPage(t *testing.T, text string) {
	t.Helper()
	start := strings.Index(text, "```ini\n") + len("```ini\n")
	ce, err := ParseCell("settings.md", []byte(text[start:start+strings.Index(text[start:], "```")]))
	if err != nil {
		t.Fatalf("the example of a cell is not accepted: %v", err)
	}
	rows := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if cells := strings.Split(line, " | "); len(cells) > 2 && strings.HasPrefix(line, "| `") {
			rows[strings.Trim(cells[0], "|` ")] = strings.Trim(cells[1], "`")
		}
	}
	existing := map[string]bool{}
	for _, en := range ce.Entries() {
		existing[en.Key()] = true
		def, ok := rows[en.Key()]
		if en.Section() == cellSection && !ok || ok && !en.Given() && en.Value() != def && def != "none" {
			t.Errorf("key %s of a cell with value %q is documented with default %q", en.Key(), en.Value(), def)
		}
	}
	for name := range rows {
		if !existing[name] {
			t.Errorf("key %s of a cell is documented and does not exist", name)
		}
	}
}
