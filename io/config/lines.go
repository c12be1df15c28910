package config

import "strings"

// location is the position of a section, a key or a malformed line. For a section,
// key is empty. For a malformed line, key is the text of the line and section the
// one that it is in.
type location struct {
	section string
	key     string
	line    int
}

// lineIndex holds the line numbers of sections and keys, which the INI library
// does not report. Lines are numbered from 1.
type lineIndex struct {
	// sections maps each section to the line of its header. If a section has
	// several headers, it is the first; the others are in repeatedSections.
	sections         map[string]int
	repeatedSections []location
	// sectionOrder has the sections in the order of the file.
	sectionOrder []string
	keys         []location
	// malformed has the lines that are neither empty, nor a comment, the header of a
	// section or a key with a value.
	malformed []location
}

// indexLines returns the line numbers of the sections and keys in data.
func indexLines(data []byte) lineIndex {
	idx := lineIndex{sections: map[string]int{}}
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line, num := strings.TrimSpace(line), i+1
		if num == 1 {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			name, ok := sectionName(line)
			if !ok {
				idx.malformed = append(idx.malformed, location{section: section, key: line, line: num})
				continue
			}
			section = name
			idx.addSection(section, num)
		default:
			key, val, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			if !ok || key == "" || quoted(key) || quoted(strings.TrimSpace(val)) {
				idx.malformed = append(idx.malformed, location{section: section, key: line, line: num})
				continue
			}
			idx.keys = append(idx.keys, location{section: section, key: key, line: num})
		}
	}
	return idx
}

// quoted reports whether text starts with a quotation mark. The INI library
// would search the following lines for the closing one.
func quoted(text string) bool {
	return strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"`)
}

// blankMalformed returns data with empty lines in place of the malformed ones. At
// these, the INI library would return an error, and faults of other lines would not
// be reported.
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

// line returns the first line of a key. If the key is missing, it returns the line of
// its section, and if that is missing too, 0.
func (idx *lineIndex) line(section, key string) int {
	for _, loc := range idx.keys {
		if loc.section == section && loc.key == key {
			return loc.line
		}
	}
	return idx.sections[section]
}
