package isolator_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/isolator"
)

var start = time.Unix(100000, 0)

func parseTime(t *testing.T, text string) time.Time {
	t.Helper()
	ms, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func key(name string) isolator.Key {
	return isolator.NewKey("service", xxhash.Sum64String(name))
}

// Guards against requests that crash server after server (review case 5), and against the isolation of requests that only ran beside
// them, that ran when several servers crashed at the same time, or that a server has answered since.
func TestSequencesOfCrashes(t *testing.T) {
	data, err := os.ReadFile("testdata/crashes.txt")
	assert.NilError(t, err)
	own, other := isolator.New(zerolog.Nop()), isolator.New(zerolog.Nop())
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		now := parseTime(t, words[0])
		i, words := own, words[1:]
		if words[0] == "other" {
			i, words = other, words[1:]
		}
		switch words[0] {
		case "crash":
			i.RecordCrash(isolator.Crash{
				Key:    key(words[1]),
				Server: xxhash.Sum64String(words[2]),
				Began:  parseTime(t, words[3]),
				At:     now,
			}, now)
		case "survive":
			i.RecordSurvival(key(words[1]), isolator.Answer{}, now)
		case "exchange":
			reports := own.Reports(now)
			own.Merge(other.Reports(now), now)
			other.Merge(reports, now)
		case "want":
			assert.Equal(t, describe(i.Admit(key(words[1]), now)), words[2], line)
		case "isolated":
			assert.Equal(t, strconv.Itoa(i.Isolated(now)), words[1], line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

func describe(a isolator.Admission) string {
	switch a.(type) {
	case isolator.Single:
		return "single"
	case isolator.Refused:
		return "refused"
	default:
		return "free"
	}
}

// Guards against reports and entries that grow without bound while many servers crash under load.
func TestReportsAreBounded(t *testing.T) {
	i := isolator.New(zerolog.Nop())
	for n := range 10000 {
		i.RecordCrash(isolator.Crash{
			Key:    isolator.Key(n),
			Server: uint64(n),
			Began:  start,
			At:     start.Add(time.Duration(n) * time.Microsecond),
		}, start)
	}
	assert.Assert(t, len(i.Reports(start.Add(time.Second))) <= 128)
	assert.Assert(t, i.Active())
	i.Expire(start.Add(time.Hour))
	assert.Assert(t, !i.Active())
}
