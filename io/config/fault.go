package config

import (
	"strconv"
	"strings"
)

// Fault is one invalid setting, or an invalid line, of a settings file.
type Fault struct {
	file    string
	line    int
	key     string
	problem string
	allowed string
}

// File returns the name of the file.
func (fa Fault) File() string { return fa.file }

// Line returns the line number, starting at 1, or 0 for a fault that has no line, such
// as a missing section.
func (fa Fault) Line() int { return fa.line }

// Key returns the section and the key, joined by a dot. Either may be missing.
func (fa Fault) Key() string { return fa.key }

// Allowed describes what is accepted instead.
func (fa Fault) Allowed() string { return fa.allowed }

// String describes the fault on one line.
func (fa Fault) String() string {
	pos := fa.file
	if fa.line > 0 {
		pos += ":" + strconv.Itoa(fa.line)
	}
	return pos + ": " + fa.key + ": " + fa.problem + "; use " + fa.allowed
}

// FaultsError reports all faults of a settings file.
type FaultsError struct {
	faults []Fault
}

// Faults returns a copy of the faults in the order of their lines.
func (err *FaultsError) Faults() []Fault { return append([]Fault(nil), err.faults...) }

// Error lists the faults, one per line.
func (err *FaultsError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.String())
	}
	return strings.Join(out, "\n")
}

// FileError reports a settings file that cannot be opened or parsed.
type FileError struct {
	file  string
	cause error
}

// Error describes the failure.
func (err *FileError) Error() string {
	return "read settings " + err.file + ": " + err.cause.Error() + "; give the path of a readable INI file"
}

// Unwrap returns the cause.
func (err *FileError) Unwrap() error { return err.cause }
