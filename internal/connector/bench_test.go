package connector

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/goccy/go-json"
	"gotest.tools/v3/assert"
)

// BenchmarkDecodeAnswer measures the decoding of a search result with ten hits, the largest cost of a sub-request.
func BenchmarkDecodeAnswer(b *testing.B) {
	response := SearchResponse{
		Held: HeldSnapshot{
			Snapshot: 7,
			Shard:    3,
			Of:       20,
		},
		Searched: 4,
		Total:    4,
	}
	for n := range 10 {
		response.Hits = append(response.Hits, Hit{
			ID:    fmt.Sprint(1000 + n),
			Score: 1 / float64(n+1),
			Body:  bytes.Repeat([]byte("x"), 40),
		})
	}
	data, err := json.Marshal(response)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		var resp SearchResponse
		if err := json.Unmarshal(data, &resp); err != nil {
			b.Fatal(err)
		}
	}
}
