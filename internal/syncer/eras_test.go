package syncer_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/syncer"
)

// Guards against objects of an era of the platform that has ended which replace those of a later one, and against lists of a new era that
// are ignored because their revision is lower.
func TestOrderOfEras(t *testing.T) {
	data, err := os.ReadFile("testdata/eras.txt")
	assert.NilError(t, err)
	s := &recordingSink{}
	l := syncer.NewChangeLog(kindObject, s)
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		accepted := words[len(words)-1] != "ignored"
		if !accepted {
			words = words[:len(words)-1]
		}
		switch words[0] {
		case "list":
			assert.Equal(t, l.Replace(batch(t, words[1], words[2:])), accepted, line)
		case "changes":
			assert.Equal(t, l.Apply(position(t, words[1]), batch(t, words[2], words[3:])), accepted, line)
		case "since":
			u, synced, _ := l.ChangesSince(position(t, words[1]))
			assert.Assert(t, synced)
			got := "nothing"
			switch {
			case u != nil && u.Whole:
				got = "whole"
			case u != nil:
				got = "changes"
			}
			assert.Equal(t, got, words[2], line)
		case "want":
			at, _ := l.Position()
			assert.Equal(t, at, position(t, words[1]), line)
			assert.Equal(t, s.objects(), strings.Join(words[2:], " "), line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

// position parses ERA:REVISION.
func position(t *testing.T, text string) storeclient.Position {
	t.Helper()
	var p storeclient.Position
	_, err := fmt.Sscanf(text, "%d:%d", &p.Era, &p.Revision)
	assert.NilError(t, err, text)
	return p
}

// batch parses objects of the form NAME=VALUE, or NAME for one that was deleted.
func batch(t *testing.T, at string, objects []string) storeclient.Batch {
	t.Helper()
	p := position(t, at)
	b := storeclient.Batch{
		Era:      p.Era,
		Revision: p.Revision,
	}
	for _, o := range objects {
		name, value, exists := strings.Cut(o, "=")
		b.Items = append(b.Items, storeclient.Item{
			Name:    name,
			Value:   []byte(value),
			Deleted: !exists,
		})
	}
	return b
}

func (s *recordingSink) objects() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		list = append(list, name+"="+s.values[name])
	}
	return strings.Join(list, " ")
}

// The platform comes back from a copy at a lower revision while it does not answer the reader of a zone. Guards against VMs that go on
// with the objects of the era before, also those that receive them from another VM.
func TestRestoreReachesZoneWithoutReader(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks := startVMs(t, p, 4)
	waitForValue(t, sinks, "1")
	revision := p.since(kindObject, 0).Revision
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
	p.setSilent(hasher.Rank("follower", []string{"vm-0", "vm-1", "vm-2", "vm-3"})[0])
	p.restore(revision)
	p.put(kindObject, "a", "3")
	waitForValue(t, sinks, "3")
}

// The VMs of a zone reply without eras, like those of a release that does not read them. Guards against a VM that goes on with a source
// whose objects it cannot place in the history of the platform, and so receives no changes.
func TestSourceWithoutErasIsPassedOver(t *testing.T) {
	p := newPlatform()
	p.restore(0)
	p.put(kindObject, "a", "1")
	sinks, network := startVMsExcept(t, p, 3)
	waitForValue(t, sinks, "1")
	network.mu.Lock()
	network.withoutEras = true
	network.mu.Unlock()
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
	p.restore(p.since(kindObject, 0).Revision - 1)
	p.put(kindObject, "a", "3")
	waitForValue(t, sinks, "3")
}
