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

// Guards against running servers that are removed during an outage of the platform, against stopped servers that are used for
// longer than the grace period, also around an outage that begins after they have stopped or if their removal is learned late, and
// against requests to draining servers.
func TestLapsedEntries(t *testing.T) {
	runScript(t, "testdata/lapses.txt")
}

// The platform comes back from a copy. Guards against servers that are given up because the copy lacks them, and against servers that are
// used again because the copy lists them although they had left, drained or been replaced before.
func TestRestoredEntries(t *testing.T) {
	runScript(t, "testdata/restores.txt")
}

func runScript(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	d := discoverer.New(discoverer.Config{
		GracePeriod: 2 * time.Second,
		ReturnDelay: 5 * time.Second,
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
		d.Expire(now)
		switch words[1] {
		case "put":
			d.Apply(now, revision, []discoverer.Change{put(words[2], len(words) > 3)})
		case "delete":
			d.Apply(now, revision, []discoverer.Change{
				{
					ID: words[2],
				},
			})
		case "list":
			var list []discoverer.Change
			for _, id := range words[2:] {
				list = append(list, put(id, false))
			}
			d.Replace(now, revision, list)
		case "restore":
			var list []discoverer.Change
			for _, id := range words[2:] {
				name, draining := strings.CutSuffix(id, "!")
				list = append(list, put(name, draining))
			}
			d.Restore(now, revision, list)
		case "current":
			d.Current(now)
		case "down":
			d.PlatformDown()
		case "recovered":
			d.PlatformRecovered(now)
		case "want":
			assert.Equal(t, usable(d.View()), strings.Join(words[2:], " "), line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

// put returns the entry of a process, ID or ID@START with the start in milliseconds.
func put(process string, draining bool) discoverer.Change {
	id, text, _ := strings.Cut(process, "@")
	start, _ := strconv.ParseInt(text, 10, 64)
	return discoverer.Change{
		ID: id,
		Server: &discoverer.Server{
			ID:        id,
			Service:   "s",
			Draining:  draining,
			StartTime: time.UnixMilli(start),
		},
	}
}

func usable(v *discoverer.View) string {
	var names []string
	for _, e := range v.ByService["s"] {
		name := e.ID
		if start := e.StartTime.UnixMilli(); start != 0 {
			name += "@" + strconv.FormatInt(start, 10)
		}
		if e.Lapsed {
			name += "*"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}
