package model

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against code in core that is not deterministic because it reads the
// clock, waits or starts goroutines. Core gets the time as an argument.
func TestCoreReadsNoClock(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, ent fs.DirEntry, err error) error {
		if err != nil || ent.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		fset := token.NewFileSet()
		fil, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(fil, func(nod ast.Node) bool {
			switch val := nod.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", fset.Position(val.Pos()))
			case *ast.SelectorExpr:
				pkg, ok := val.X.(*ast.Ident)
				if ok && pkg.Name == "time" && isClockFunc(val.Sel.Name) {
					t.Errorf("%s reads the clock", fset.Position(val.Pos()))
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func isClockFunc(name string) bool {
	switch name {
	case "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick":
		return true
	}
	return false
}
