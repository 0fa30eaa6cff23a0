package parser_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
)

// Guards against faults that are lost, reported with a wrong line number or reported one at a time, and against a canonical form
// that decodes to another set. Each file contains YAML or JSON, followed either by a line "== faults" and the expected faults or
// by a line "== canonical" and the expected canonical form.
func TestDecodeScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			assert.NilError(t, err)
			if in, want, ok := strings.Cut(string(data), "== faults\n"); ok {
				_, err := parser.Decode("in", []byte(in))
				var e *parser.DecodeError
				assert.Assert(t, errors.As(err, &e), "the file was accepted")
				assert.Equal(t, e.Error()+"\n", want)
				return
			}
			in, want, ok := strings.Cut(string(data), "== canonical\n")
			assert.Assert(t, ok)
			set, err := parser.Decode("in", []byte(in))
			assert.NilError(t, err)
			assert.Equal(t, string(parser.EncodeYAML(set)), want)
			decoded, err := parser.Decode("again", []byte(want))
			assert.NilError(t, err)
			assert.DeepEqual(t, fmt.Sprint(decoded), fmt.Sprint(set))
		})
	}
}

// Guards against strings that are written without the necessary quotes and that YAML decodes as another type or another string.
func TestEncodeQuotesStrings(t *testing.T) {
	for _, s := range []string{"true", "no", "1e3", "0x10", "12", "~", "a: b", "a #b", "tab\t", "é\n", "-", "2026-01-01", "{", "x\"y", "\x7f", "null", "'q'", "a.b-c"} {
		set := parser.Set{
			parser.AvailabilityZone{
				Name:   s,
				Region: "r",
				State:  parser.ZoneInService,
			},
		}
		decoded, err := parser.Decode(s, parser.EncodeYAML(set))
		assert.NilError(t, err, "%q", s)
		assert.Equal(t, decoded[0].ObjectName(), s)
	}
}
