package discoverer_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Guards against servers that are dropped in an outage of the platform although they live, against gone ones that are used for
// longer than the grace period, and against requests to servers that drain.
func TestEntriesLapse(t *testing.T) {
	data, err := os.ReadFile("testdata/lapses.txt")
	assert.NilError(t, err)
	r := discoverer.New(discoverer.Config{
		GracePeriod: 2 * time.Second,
	})
	start := time.Unix(1000, 0)
	revision := uint64(0)
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		ms, err := strconv.Atoi(words[0])
		assert.NilError(t, err, line)
		now := start.Add(time.Duration(ms) * time.Millisecond)
		revision++
		r.Expire(now)
		switch words[1] {
		case "put":
			r.Apply(now, revision, []discoverer.Change{put(words[2], len(words) > 3)})
		case "drop":
			r.Apply(now, revision, []discoverer.Change{
				{
					ID: words[2],
				},
			})
		case "list":
			var list []discoverer.Change
			for _, id := range words[2:] {
				list = append(list, put(id, false))
			}
			r.Replace(now, revision, list)
		case "returned":
			r.PlatformRecovered(now)
		case "want":
			assert.Equal(t, used(r.View()), strings.Join(words[2:], " "), line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

func put(id string, draining bool) discoverer.Change {
	return discoverer.Change{
		ID: id,
		Server: &discoverer.Server{
			ID:       id,
			Service:  "s",
			Draining: draining,
		},
	}
}

func used(v *discoverer.View) string {
	var names []string
	for _, m := range v.ByService["s"] {
		name := m.ID
		if m.Lapsed {
			name += "*"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}
