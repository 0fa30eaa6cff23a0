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

// Guards against faults that are dropped, put on a wrong line or reported one at a time. Each file holds YAML or JSON, then
// a line "== faults", then the faults or "== canonical" and the canonical form.
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

// Guards against strings that YAML reads back as another type or another string.
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
