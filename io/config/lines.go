package config

import "strings"

// location is the line of a section, a key or a malformed line, whose text is
// then in key.
type location struct {
	section string
	key     string
	line    int
}

// lineIndex holds the line numbers of sections and keys, which the INI library
// does not report.
type lineIndex struct {
	// sections maps each section to its first line; repeatedSections has the
	// later lines that start a section once more.
	sections         map[string]int
	repeatedSections []location
	// sectionOrder has the sections in the order of the file.
	sectionOrder []string
	keys         []location
	// malformed has the lines that are neither a section nor a key with a value.
	malformed []location
}

// indexLines returns the line numbers of the sections and keys in data.
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
				idx.malformed = append(idx.malformed, location{section: section, key: line, line: no})
				continue
			}
			section = name
			idx.addSection(section, no)
		default:
			key, val, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			if !ok || key == "" || quoted(key) || quoted(strings.TrimSpace(val)) {
				idx.malformed = append(idx.malformed, location{section: section, key: line, line: no})
				continue
			}
			idx.keys = append(idx.keys, location{section: section, key: key, line: no})
		}
	}
	return idx
}

// quoted reports whether text starts with a quotation mark. The INI library
// would search the following lines for the closing one.
func quoted(text string) bool {
	return strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"`)
}

// blankMalformed blanks the lines that the INI library would stop at, so that they
// hide no other fault.
func (idx *lineIndex) blankMalformed(data []byte) []byte {
	lines := strings.Split(string(data), "\n")
	for _, loc := range idx.malformed {
		lines[loc.line-1] = ""
	}
	return []byte(strings.Join(lines, "\n"))
}

func (idx *lineIndex) addSection(name string, line int) {
	if _, ok := idx.sections[name]; ok {
		idx.repeatedSections = append(idx.repeatedSections, location{section: name, line: line})
		return
	}
	idx.sections[name] = line
	idx.sectionOrder = append(idx.sectionOrder, name)
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
	for _, loc := range idx.keys {
		if loc.section == section && loc.key == key {
			return loc.line
		}
	}
	return idx.sections[section]
}
