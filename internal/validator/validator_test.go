package validator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/validator"
)

var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// checkFaults returns the faults of a set that replaces the installed one, one per line.
func checkFaults(t *testing.T, set, installed string) string {
	t.Helper()
	objects, err := parser.Decode("set", []byte(set))
	assert.NilError(t, err)
	old, err := parser.Decode("installed", []byte(installed))
	assert.NilError(t, err)
	var b strings.Builder
	for _, f := range validator.CheckUpdate(objects, old, now) {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// Guards against faults that are missed, reported wrongly or reported one at a time. Each file contains a set, a line "== faults"
// and the expected faults at 2026-12-04T12:00:00Z. An optional line "== installed" starts the installed set. The objects of
// base.yaml, which has no faults, are prepended to the set.
func TestCheckScripts(t *testing.T) {
	base, err := os.ReadFile("testdata/base.yaml")
	assert.NilError(t, err)
	assert.Equal(t, checkFaults(t, string(base), ""), "")
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			assert.NilError(t, err)
			in, want, ok := strings.Cut(string(data), "== faults\n")
			assert.Assert(t, ok)
			set, installed, _ := strings.Cut(in, "== installed\n")
			assert.Equal(t, checkFaults(t, string(base)+"---\n"+set, installed), want)
		})
	}
}
