package parser_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
)

// Guards against sets that make the process panic, and against sets that change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	examples, err := filepath.Glob("../../examples/*.yaml")
	assert.NilError(f, err)
	assert.Assert(f, len(examples) > 0)
	for _, name := range examples {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("- &a {Kind: Policy, Name: x}\n- *a\n- {<<: *a}"))
	f.Add([]byte(`[{"Kind":"Move","Name":"m","Steps":[{"Percent":1e99}]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := parser.Decode("set.yaml", data)
		if err != nil {
			return
		}
		for _, encoded := range [][]byte{parser.EncodeYAML(set), parser.EncodeJSON(set)} {
			again, err := parser.Decode("encoded", encoded)
			assert.NilError(t, err, "%q", encoded)
			assert.Equal(t, len(again), len(set))
			for i := range set {
				assert.Assert(t, parser.Equal(again[i], set[i]), "%q", encoded)
			}
		}
	})
}
