package main

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

// Guards docs/commands.md against a command without a description, and against a
// description of a command that doesn't exist.
func TestCommandsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/commands.md")
	if err != nil {
		t.Fatal(err)
	}
	var described, existing []string
	for _, match := range regexp.MustCompile(`(?m)^### (.*)$`).FindAllSubmatch(page, -1) {
		described = append(described, string(match[1]))
	}
	for _, cmd := range commands() {
		existing = append(existing, cmd.Name())
	}
	slices.Sort(described)
	slices.Sort(existing)
	if !slices.Equal(described, existing) {
		t.Errorf("docs/commands.md describes %q, the program has %q", described, existing)
	}
}
