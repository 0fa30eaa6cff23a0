package publisher_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/publisher"
)

// Guards against heads at the platform that make the process panic or that are accepted with an invalid list of parts.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"Generation":1,"Parts":["` + strings.Repeat("a", 64) + `"]}`))
	f.Add([]byte(`{"Generation":18446744073709551615,"Parts":null,"Changes":[{}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if h, err := publisher.DecodeHead(value); err == nil {
			assert.Assert(t, h.Record().Generation > 0 && len(h.Record().Parts) <= publisher.MaxParts)
		}
	})
}
