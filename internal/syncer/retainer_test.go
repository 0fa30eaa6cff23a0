package syncer_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Guards against evacuations, moves and VMs that are forgotten because the platform came back from a copy that lacks them, against those
// that come back with the copy, and against objects that are retained for ever.
func TestRetention(t *testing.T) {
	data, err := os.ReadFile("testdata/retention.txt")
	assert.NilError(t, err)
	clock := timer.NewVirtual(time.Unix(1000, 0))
	start := clock.Now()
	s := &recordingSink{}
	r := syncer.NewRetainer(kindObject, s, syncer.Retention{
		Missing:  30 * time.Second,
		Outdated: 5 * time.Second,
	}, clock, zerolog.Nop())
	era := uint64(1)
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		ms, err := strconv.Atoi(words[0])
		assert.NilError(t, err, line)
		clock.Advance(start.Add(time.Duration(ms) * time.Millisecond).Sub(clock.Now()))
		r.Expire(clock.Now())
		b := storeclient.Batch{
			Era: era,
		}
		for _, object := range words[2:] {
			b.Items = append(b.Items, parseObject(t, object))
		}
		switch words[1] {
		case "list":
			r.Replace(b)
		case "put":
			r.Apply(b)
		case "delete":
			b.Items[0].Deleted = true
			r.Apply(b)
		case "restore":
			era++
			b.Era = era
			r.Restore(b)
		case "want":
			assert.Equal(t, s.objects(), strings.Join(words[2:], " "), line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

// parseObject parses NAME, NAME=VALUE or NAME=VALUE@REVISION.
func parseObject(t *testing.T, text string) storeclient.Item {
	t.Helper()
	name, rest, _ := strings.Cut(text, "=")
	value, revision, found := strings.Cut(rest, "@")
	item := storeclient.Item{
		Name:  name,
		Value: []byte(value),
	}
	if found {
		_, err := fmt.Sscan(revision, &item.Revision)
		assert.NilError(t, err, text)
	}
	return item
}
