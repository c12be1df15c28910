package config

import "strings"

// place is one key of the file.
type place struct {
	section string
	key     string
	line    int
}

// lineIndex knows the lines of sections and keys, which the INI library does
// not report.
type lineIndex struct {
	// sections maps each section to its first line; repeated has the lines
	// of the others.
	sections map[string]int
	repeated []place
	// order has the sections as they appear.
	order []string
	keys  []place
	// bad has the lines that are neither a section nor a key with a value.
	bad []place
}

func indexLines(data []byte) lineIndex {
	idx := lineIndex{sections: map[string]int{}}
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line, no := strings.TrimSpace(line), i+1
		if no == 1 {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			name, ok := sectionName(line)
			if !ok {
				idx.bad = append(idx.bad, place{section: section, key: line, line: no})
				continue
			}
			section = name
			idx.addSection(section, no)
		default:
			key, val, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			if !ok || key == "" || quoted(key) || quoted(strings.TrimSpace(val)) {
				idx.bad = append(idx.bad, place{section: section, key: line, line: no})
				continue
			}
			idx.keys = append(idx.keys, place{section: section, key: key, line: no})
		}
	}
	return idx
}

// quoted reports whether text starts with a quote that the INI library would
// look for the end of on later lines.
func quoted(text string) bool {
	return strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"`)
}

// withoutBad blanks the lines that the INI library would stop at, so that they
// hide no other fault.
func (idx *lineIndex) withoutBad(data []byte) []byte {
	lines := strings.Split(string(data), "\n")
	for _, pl := range idx.bad {
		lines[pl.line-1] = ""
	}
	return []byte(strings.Join(lines, "\n"))
}

func (idx *lineIndex) addSection(name string, line int) {
	if _, ok := idx.sections[name]; ok {
		idx.repeated = append(idx.repeated, place{section: name, line: line})
		return
	}
	idx.sections[name] = line
	idx.order = append(idx.order, name)
}

// sectionName returns the name in a line such as "[vm] # comment".
func sectionName(line string) (string, bool) {
	name, rest, ok := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	name = strings.TrimSpace(name)
	return name, ok && name != "" && (rest == "" || rest[0] == '#' || rest[0] == ';')
}

// line returns the first line of a key, or of its section when the key is
// missing, or 0.
func (idx *lineIndex) line(section, key string) int {
	for _, pl := range idx.keys {
		if pl.section == section && pl.key == key {
			return pl.line
		}
	}
	return idx.sections[section]
}
