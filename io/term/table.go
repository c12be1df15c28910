package term

import (
	"strings"
	"unicode/utf8"
)

// Table collects rows. The zero value has no header.
type Table struct {
	head []string
	// rows have as many cells as head.
	rows [][]string
}

// NewTable returns a table with the given header.
func NewTable(head ...string) *Table { return &Table{head: head} }

// Add adds a row. Missing cells are empty, and those beyond the header are
// left out.
func (ta *Table) Add(cells ...string) {
	row := make([]string, len(ta.head))
	for i := range row {
		if i < len(cells) {
			row[i] = printable(cells[i])
		}
	}
	ta.rows = append(ta.rows, row)
}

// Len returns the number of rows.
func (ta *Table) Len() int { return len(ta.rows) }

const columnGap = 2

// Table prints a table: aligned with its header on a terminal, else
// tab-separated without the header, so that other programs can read it.
func (st Streams) Table(ta *Table) error {
	if !st.terminal {
		lines := make([]string, 0, len(ta.rows))
		for _, row := range ta.rows {
			lines = append(lines, strings.Join(row, "\t"))
		}
		return st.raw(lines)
	}
	widths := make([]int, len(ta.head))
	all := append([][]string{upper(ta.head)}, ta.rows...)
	for _, row := range all {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	lines := make([]string, 0, len(all))
	for _, row := range all {
		var line strings.Builder
		for i, cell := range row {
			line.WriteString(cell)
			line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)+columnGap))
		}
		lines = append(lines, strings.TrimRight(line.String(), " "))
	}
	return st.raw(lines)
}

func upper(head []string) []string {
	out := make([]string, len(head))
	for i, cell := range head {
		out[i] = strings.ToUpper(cell)
	}
	return out
}
