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
	assert.Equal(t, findInSource(t, func(fset *token.FileSet, n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		return ok && hasFieldsOnSameLine(fset, lit)
	}), "")
}

// Guards against calls of other VMs whose panic ends the process.
func TestCallsOfOtherVMsRecover(t *testing.T) {
	assert.Equal(t, findInSource(t, func(_ *token.FileSet, n ast.Node) bool {
		fn, ok := n.(*ast.FuncDecl)
		if !ok || fn.Recv == nil || !fn.Name.IsExported() || !isCall(fn.Type) {
			return false
		}
		for _, stmt := range fn.Body.List {
			if d, ok := stmt.(*ast.DeferStmt); ok {
				if f, ok := d.Call.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "RecoverCall" {
					return false
				}
			}
		}
		return true
	}), "")
}

// isCall reports whether net/rpc serves a method of this type outside package messenger: the second of two parameters is a pointer to
// a message whose name ends in Reply.
func isCall(fn *ast.FuncType) bool {
	if len(fn.Params.List) != 2 || fn.Results == nil || len(fn.Results.List) != 1 {
		return false
	}
	pointer, ok := fn.Params.List[1].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	message, ok := pointer.X.(*ast.SelectorExpr)
	return ok && strings.HasSuffix(message.Sel.Name, "Reply")
}

// Guards against values that turn into other bytes of the same length. Go 1.26 does not keep the elements of a local [2]string
// alive that is indexed by a variable: if the element is part of a concatenation or passed as an interface, the garbage collector
// may free the strings while the array is still used. Slices are not affected.
func TestNoSmallArraysOfStrings(t *testing.T) {
	assert.Equal(t, findInSource(t, func(_ *token.FileSet, n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		if !ok || len(lit.Elts) == 0 {
			return false
		}
		array, ok := lit.Type.(*ast.ArrayType)
		if !ok || array.Len == nil {
			return false
		}
		elem, ok := array.Elt.(*ast.Ident)
		return ok && elem.Name == "string"
	}), "")
}

// findInSource returns the positions of the nodes of all Go files for which match returns true, one per line.
func findInSource(t *testing.T, match func(*token.FileSet, ast.Node) bool) string {
	t.Helper()
	var found []string
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
			if n != nil && match(fset, n) {
				found = append(found, fmt.Sprint(fset.Position(n.Pos())))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	return strings.Join(found, "\n")
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
