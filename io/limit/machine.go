package limit

import (
	"bufio"
	"io/fs"
	"math"
	"os"
	"path"
	"strconv"
	"strings"
	"syscall"
)

// Machine is what the process may use, as far as the operating system tells. A field that
// is 0 is not known.
type Machine struct {
	// memory is in bytes.
	memory int64
	files  int
}

// Memory returns the memory in bytes: the least of that of the machine, the limits of the
// control group and the resource limits of the process.
func (ma Machine) Memory() int64 { return ma.memory }

// Files returns the number of file descriptors that the process may open.
func (ma Machine) Files() int { return ma.files }

// NewMachine reads what this process may use.
func NewMachine() Machine { return newMachine(os.DirFS("/"), resourceLimit) }

// unlimited is a value from which on a limit counts as none.
const unlimited = uint64(1) << 50

// Places of the limits of memory, below the root directory.
const (
	memoryInfo   = "proc/meminfo"
	ownGroups    = "proc/self/cgroup"
	groupRoot    = "sys/fs/cgroup"
	groupFile    = "memory.max"
	oldGroupRoot = "sys/fs/cgroup/memory"
	oldGroupFile = "memory.limit_in_bytes"
)

// newMachine reads the limits from a file system and from a function that returns a
// resource limit.
func newMachine(root fs.FS, resource func(kind int) uint64) Machine {
	least := min(totalMemory(root), groupMemory(root), resource(syscall.RLIMIT_DATA), resource(syscall.RLIMIT_AS))
	ma := Machine{}
	if least < unlimited {
		ma.memory = int64(least)
	}
	if files := resource(syscall.RLIMIT_NOFILE); files < math.MaxInt32 {
		ma.files = int(files)
	}
	return ma
}

// resourceLimit returns a resource limit of the process.
func resourceLimit(kind int) uint64 {
	var lim syscall.Rlimit
	if syscall.Getrlimit(kind, &lim) != nil {
		return math.MaxUint64
	}
	return lim.Cur
}

// totalMemory returns the memory of the machine.
func totalMemory(root fs.FS) uint64 {
	file, err := root.Open(memoryInfo)
	if err != nil {
		return math.MaxUint64
	}
	defer func() { _ = file.Close() }()
	for sca := bufio.NewScanner(file); sca.Scan(); {
		if words := strings.Fields(sca.Text()); len(words) > 1 && words[0] == "MemTotal:" {
			return parseLimit(words[1], 1<<10)
		}
	}
	return math.MaxUint64
}

// groupMemory returns the least limit of the control groups of the process and of those
// above them.
func groupMemory(root fs.FS) uint64 {
	text, err := fs.ReadFile(root, ownGroups)
	if err != nil {
		return math.MaxUint64
	}
	least := uint64(math.MaxUint64)
	for line := range strings.Lines(string(text)) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		switch {
		case len(parts) < 3:
		case parts[1] == "":
			least = min(least, pathMemory(root, groupRoot, parts[2], groupFile))
		case strings.Contains(","+parts[1]+",", ",memory,"):
			least = min(least, pathMemory(root, oldGroupRoot, parts[2], oldGroupFile))
		}
	}
	return least
}

// pathMemory returns the least limit of a control group and of those above it.
func pathMemory(root fs.FS, base, group, file string) uint64 {
	least := uint64(math.MaxUint64)
	for dir := path.Clean("/" + group); ; dir = path.Dir(dir) {
		if text, err := fs.ReadFile(root, path.Join(base, dir, file)); err == nil {
			least = min(least, parseLimit(strings.TrimSpace(string(text)), 1))
		}
		if dir == "/" {
			return least
		}
	}
}

// parseLimit returns a limit that is given in a unit of bytes. One that is not a positive
// number, such as max, is none.
func parseLimit(text string, unit uint64) uint64 {
	num, err := strconv.ParseUint(text, 10, 64)
	if err != nil || num == 0 || num > math.MaxUint64/unit {
		return math.MaxUint64
	}
	return num * unit
}
