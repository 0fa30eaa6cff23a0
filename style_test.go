// Package anvildyke_test checks rules of the house style that the linters do not cover.
package anvildyke_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against struct literals with two fields on a line or with a field on the line of the opening brace.
func TestStructLiteralsHaveOneNamedFieldPerLine(t *testing.T) {
	var violations []string
	fset := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.CompositeLit); ok && hasFieldsOnSameLine(fset, lit) {
				violations = append(violations, fmt.Sprint(fset.Position(lit.Pos())))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(violations, "\n"), "")
}

// hasFieldsOnSameLine reports whether a literal with field names has a field on the line of the opening brace or of another one.
// It skips map and array literals whose type is written out, and literals with keys that are not identifiers.
func hasFieldsOnSameLine(fset *token.FileSet, lit *ast.CompositeLit) bool {
	switch lit.Type.(type) {
	case *ast.MapType, *ast.ArrayType:
		return false
	}
	prevLine := fset.Position(lit.Lbrace).Line
	for _, elt := range lit.Elts {
		kv, ok := elt.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		if _, ok := kv.Key.(*ast.Ident); !ok {
			return false
		}
		if line := fset.Position(kv.Pos()).Line; line == prevLine {
			return true
		}
		prevLine = fset.Position(kv.End()).Line
	}
	return false
}
