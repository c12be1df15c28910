package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The columns of a row in docs/promises.md, which lists the system's invariants (P),
// measured targets (M) and failures that it must survive (F).
const (
	// colID has the id, such as P4, and colStatement what is guaranteed.
	colID = iota
	colStatement
	// colCode, colTest and colOracle name the code, the tests, and the files that
	// check simulations or runs for violations.
	colCode
	colTest
	colOracle
	// colTrace names recorded traces, and colCommand commands that repeat the
	// check.
	colTrace
	colCommand
	// colFigure has the measured result, and colGap the reason for each cell
	// that is none.
	colFigure
	colGap
	// columns is the number of columns.
	columns
)

// repoRoot is the root of the repository.
const repoRoot = "../.."

var (
	codeSpan  = regexp.MustCompile("`([^`]+)`")
	testFunc  = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	cellSplit = regexp.MustCompile(`[^\\]\|`)
	rowStart  = regexp.MustCompile(`^\| ([PMF]\d+) \|`)
	runFlag   = regexp.MustCompile(`-(run|bench) ('[^']*'|\S+)`)
)

// Guards docs/promises.md against an invariant, target or failure without a row, a
// row that names a file, test or command that doesn't exist, and a cell that is none
// in a row that doesn't explain the gap.
func TestPromisesPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs/promises.md"))
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	traces := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if !rowStart.MatchString(line) {
			continue
		}
		cells := splitRow(line)
		if len(cells) != columns {
			t.Errorf("%d cells, want %d: %s", len(cells), columns, line)
			continue
		}
		ids = append(ids, cells[colID])
		checkRow(t, cells, traces)
	}
	if want := expectedIDs(); !slices.Equal(ids, want) {
		t.Errorf("rows %q, want %q", ids, want)
	}
	recorded, err := filepath.Glob(filepath.Join(repoRoot, "io/cmd/replay/testdata/*.jsonl"))
	if err != nil || len(recorded) == 0 {
		t.Fatalf("%d traces, %v", len(recorded), err)
	}
	for _, file := range recorded {
		if name, _ := filepath.Rel(repoRoot, file); !traces[name] {
			t.Errorf("no row names the trace %s", name)
		}
	}
}

// Guards against a check of TestPromisesPage that accepts a file, test or command
// that doesn't exist.
func TestPromisesFaultsAreFound(t *testing.T) {
	for name, tc := range map[string]struct{ kind, text string }{
		"file":            {"file", "core/sched/nothing.go"},
		"directory":       {"file", "core/sched"},
		"test":            {"test", "core/sched TestNothing"},
		"test elsewhere":  {"test", "core/route TestFaultsBreakNoInvariant"},
		"package":         {"test", "core/nothing TestFaultsBreakNoInvariant"},
		"test shape":      {"test", "TestFaultsBreakNoInvariant"},
		"command":         {"command", "guavarail fly"},
		"argument":        {"command", "guavarail replay io/cmd/replay/testdata/nothing.jsonl"},
		"run":             {"command", "go test ./core/sched -run 'FaultsBreak|Nothing'"},
		"run as bench":    {"command", "go test ./core/sched -run XXX -bench FaultsBreakNoInvariant"},
		"tested package":  {"command", "go test ./core/nothing"},
		"no package":      {"command", "go test -run FaultsBreakNoInvariant"},
		"another program": {"command", "make test"},
	} {
		t.Run(name, func(t *testing.T) {
			check := map[string]func(string) string{"file": checkFile, "test": checkTest, "command": checkCommand}[tc.kind]
			if check(tc.text) == "" {
				t.Errorf("%q is accepted", tc.text)
			}
		})
	}
}

// expectedIDs returns the ids of all rows in the order of the page.
func expectedIDs() []string {
	var out []string
	for _, group := range []struct {
		letter string
		last   int
	}{{"P", 10}, {"M", 4}, {"F", 13}} {
		for num := 1; num <= group.last; num++ {
			out = append(out, group.letter+strconv.Itoa(num))
		}
	}
	return out
}

// splitRow returns the cells of a row, without surrounding spaces. An escaped pipe
// (\|) doesn't end a cell.
func splitRow(line string) []string {
	line = strings.TrimSuffix(strings.TrimPrefix(line, "| "), "|")
	var cells []string
	from := 0
	for _, at := range cellSplit.FindAllStringIndex(line, -1) {
		cells = append(cells, line[from:at[1]-1])
		from = at[1]
	}
	cells = append(cells, line[from:])
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(strings.TrimSpace(cell), `\|`, "|")
	}
	return cells
}

// checkRow checks the cells of a row, and adds the trace files that the row names to
// traces.
func checkRow(t *testing.T, cells []string, traces map[string]bool) {
	t.Helper()
	checks := map[int]func(string) string{
		colCode: checkFile, colTest: checkTest, colOracle: checkFile, colTrace: checkFile, colCommand: checkCommand,
	}
	for col, check := range checks {
		spans := codeSpan.FindAllStringSubmatch(cells[col], -1)
		if len(spans) == 0 && (cells[col] != "none" || cells[colGap] == "") {
			t.Errorf("%s: cell %q names nothing, and the row does not explain the gap", cells[colID], cells[col])
		}
		for _, span := range spans {
			if problem := check(span[1]); problem != "" {
				t.Errorf("%s: %s", cells[colID], problem)
			}
			if col == colTrace {
				traces[span[1]] = true
			}
		}
	}
	if cells[colFigure] == "" || strings.Contains(cells[colFigure], "FIG_") {
		t.Errorf("%s: no figure", cells[colID])
	}
}

// checkFile returns what is wrong with the path of a file, relative to the root of the
// repository, or "" if the file exists.
func checkFile(name string) string {
	if info, err := os.Stat(filepath.Join(repoRoot, name)); err != nil || info.IsDir() {
		return "file " + name + " does not exist"
	}
	return ""
}

// checkTest returns what is wrong with a test, given as PACKAGE NAME, or "" if it
// exists.
func checkTest(text string) string {
	dir, name, ok := strings.Cut(text, " ")
	if !ok || !slices.Contains(testsIn(dir), name) {
		return "test " + text + " does not exist"
	}
	return ""
}

// testsIn returns the names of the tests, fuzz tests and benchmarks in a directory.
func testsIn(dir string) []string {
	files, _ := filepath.Glob(filepath.Join(repoRoot, dir, "*_test.go"))
	var out []string
	for _, file := range files {
		buf, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, match := range testFunc.FindAllSubmatch(buf, -1) {
			out = append(out, string(match[1]))
		}
	}
	return out
}

// checkCommand returns what is wrong with a command line, or "" if it is valid.
func checkCommand(line string) string {
	switch {
	case strings.HasPrefix(line, "go test "):
		return checkGoTest(line)
	case strings.HasPrefix(line, "guavarail "):
		return checkProgram(line)
	}
	return "command " + line + " is neither guavarail nor go test"
}

// checkGoTest returns what is wrong with a go test command, or "" if each of its
// packages has tests, and each alternative of its -run and -bench patterns selects a
// test.
func checkGoTest(line string) string {
	var names []string
	for _, word := range strings.Fields(line) {
		dir, ok := strings.CutPrefix(word, "./")
		if !ok {
			continue
		}
		found := testsIn(dir)
		if len(found) == 0 {
			return "package " + word + " has no tests"
		}
		names = append(names, found...)
	}
	if len(names) == 0 {
		return "command " + line + " names no package"
	}
	for _, flag := range runFlag.FindAllStringSubmatch(line, -1) {
		kind := map[string]string{"run": "Test", "bench": "Benchmark"}[flag[1]]
		for _, pattern := range strings.Split(strings.Trim(flag[2], "'"), "|") {
			exp, err := regexp.Compile(pattern)
			if err != nil {
				return "pattern " + pattern + ": " + err.Error()
			}
			selects := func(name string) bool { return strings.HasPrefix(name, kind) && exp.MatchString(name) }
			// XXX selects no test, so that only benchmarks run.
			if pattern != "XXX" && !slices.ContainsFunc(names, selects) {
				return "pattern " + pattern + " of " + line + " selects nothing"
			}
		}
	}
	return ""
}

// checkProgram returns what is wrong with a command line of guavarail, or "" if the
// command and the files in its arguments exist.
func checkProgram(line string) string {
	words := strings.Fields(line)[1:]
	exists := false
	for _, cmd := range commands() {
		name := strings.Fields(cmd.Name())
		exists = exists || len(words) >= len(name) && slices.Equal(words[:len(name)], name)
	}
	if !exists {
		return "command " + line + " does not exist"
	}
	for _, word := range words {
		if strings.Contains(word, "/") && checkFile(word) != "" {
			return checkFile(word)
		}
	}
	return ""
}
