package model

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Guards against a core package that depends on I/O: the layout of ports and
// adapters allows it no sockets, files, locks, unseeded random sources, encodings
// or adapters.
func TestCoreImportsNoAdapters(t *testing.T) {
	banned := map[string]bool{
		"io": true, "os": true, "net": true, "sync": true, "sync/atomic": true,
		"math/rand": true, "math/rand/v2": true, "context": true, "encoding/json": true,
		"encoding/binary": true,
	}
	err := filepath.WalkDir("..", func(path string, ent fs.DirEntry, err error) error {
		if err != nil || ent.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		fil, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imp := range fil.Imports {
			name, _ := strconv.Unquote(imp.Path.Value)
			if banned[name] || strings.HasPrefix(name, "net/") || strings.HasPrefix(name, "os/") || strings.HasPrefix(name, "guavarail/io") {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
