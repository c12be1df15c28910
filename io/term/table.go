package term

import (
	"strings"
	"unicode/utf8"
)

// Table is a list of rows with a header. The zero value has no columns.
type Table struct {
	header []string
	// rows have as many cells as the header. Their cells are printable.
	rows [][]string
}

// NewTable returns a table with the given header.
func NewTable(header ...string) *Table { return &Table{header: header} }

// Add adds a row. Missing cells are empty, and excess cells are dropped.
func (ta *Table) Add(cells ...string) {
	row := make([]string, len(ta.header))
	for i := range row {
		if i < len(cells) {
			row[i] = printable(cells[i])
		}
	}
	ta.rows = append(ta.rows, row)
}

// Len returns the number of rows.
func (ta *Table) Len() int { return len(ta.rows) }

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table prints a table to the standard output: on a terminal aligned and with its
// header in upper case, otherwise tab-separated and without the header, for use in
// scripts.
func (st Streams) Table(ta *Table) error {
	if !st.terminal {
		lines := make([]string, 0, len(ta.rows))
		for _, row := range ta.rows {
			lines = append(lines, strings.Join(row, "\t"))
		}
		return st.writeLines(lines)
	}
	widths := make([]int, len(ta.header))
	rowsWithHeader := append([][]string{upper(ta.header)}, ta.rows...)
	for _, row := range rowsWithHeader {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	lines := make([]string, 0, len(rowsWithHeader))
	for _, row := range rowsWithHeader {
		var line strings.Builder
		for i, cell := range row {
			line.WriteString(cell)
			line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)+columnGap))
		}
		lines = append(lines, strings.TrimRight(line.String(), " "))
	}
	return st.writeLines(lines)
}

func upper(header []string) []string {
	out := make([]string, len(header))
	for i, cell := range header {
		out[i] = strings.ToUpper(cell)
	}
	return out
}
