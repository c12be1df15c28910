// Package check is the command "settings check".
package check

import (
	"context"
	"os"

	"guavarail/io/cmd/shell"
	"guavarail/io/config"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	File string `arg:"positional,required" help:"settings file"`
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("settings check", "Validate a settings file and print every value in effect.",
		"guavarail settings check /etc/guavarail.ini", Run)
}

// value is one key in the JSON output.
type value struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	// Source is file or default.
	Source string `json:"source"`
}

// Run validates the file and prints the effective settings.
func Run(_ context.Context, env shell.Env, opt Options) error {
	ens, err := entries(opt.File)
	if err != nil {
		return err
	}
	ta := term.NewTable("section", "key", "value", "source")
	var vals []value
	for _, en := range ens {
		val := value{Section: en.Section(), Key: en.Key(), Value: en.Value(), Source: "default"}
		if en.Given() {
			val.Source = "file"
		}
		vals = append(vals, val)
		ta.Add(val.Section, val.Key, val.Value, val.Source)
	}
	return env.Show(opt.Output, vals, ta)
}

// entries validates a settings file of a VM of a cell, or of any other VM, and
// returns its effective values.
func entries(file string) ([]config.Entry, error) {
	if data, err := os.ReadFile(file); err == nil && config.IsCell(data) {
		ce, err := config.ParseCell(file, data)
		return ce.Entries(), err
	}
	se, err := config.Load(file)
	return se.Entries(), err
}
