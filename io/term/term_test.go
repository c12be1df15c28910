package term

import (
	"bytes"
	"testing"
)

// Guards against rows that a script cannot split into cells, and against control
// characters of cells in the output.
func TestTable(t *testing.T) {
	for name, tc := range map[string]struct {
		terminal bool
		want     string
	}{
		"terminal": {true, "NAME    STATE\nriga-a  in\nb c     \u0101\n"},
		"pipe":     {false, "riga-a\tin\nb c\t\u0101\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			ta := NewTable("name", "state")
			ta.Add("riga-a", "in", "left out")
			ta.Add("b\tc", "\u0101")
			if err := New(nil, &out, nil, tc.terminal).Table(ta); err != nil || out.String() != tc.want {
				t.Errorf("printed %q, %v; want %q", out.String(), err, tc.want)
			}
		})
	}
}

// Guards against escape sequences in the text of a message that reach the
// terminal.
func TestErrLinesReplacesControlCharacters(t *testing.T) {
	var out bytes.Buffer
	st := New(nil, nil, &out, true)
	if err := st.ErrLines("a\x1b[2Jb"); err != nil || out.String() != "a [2Jb\n" {
		t.Errorf("printed %q, %v", out.String(), err)
	}
	if err := (Streams{}).Lines("nothing"); err != nil {
		t.Errorf("zero streams: %v", err)
	}
}
