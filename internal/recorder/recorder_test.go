// These tests guard against timelines in which a cause is sorted after its effect because wall clocks differ, and against filters
// that omit matching events or return others.
package recorder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/timer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Each message carries a stamp from one of five VMs to another one. The clocks of the VMs differ by up to 20 s and advance at
// different rates. The events of sending and receiving form a chain in which every event is the cause of the next.
func TestMergeSortsCausesBeforeEffectsDespiteClockSkew(t *testing.T) {
	const vms, messages = 5, 500
	rng := rand.New(rand.NewPCG(7, 11))
	var clocks []*timer.Service
	var recorders []*Recorder
	for n := range vms {
		clocks = append(clocks, timer.NewVirtual(start.Add(time.Duration(rng.IntN(20000))*time.Millisecond)))
		recorders = append(recorders, New(fmt.Sprintf("vm-%d", n), clocks[n]))
	}
	current := 0
	for n := range messages {
		recorders[current].Record("part", "Sent", fmt.Sprint(n), "")
		stamp := recorders[current].NextStamp()
		clocks[rng.IntN(vms)].Advance(time.Duration(rng.IntN(3)) * time.Millisecond)
		current = rng.IntN(vms)
		recorders[current].Observe(stamp)
		recorders[current].Record("part", "Received", fmt.Sprint(n), "")
	}
	var lists [][]Event
	for _, r := range recorders {
		lists = append(lists, r.Events(Filter{}))
	}
	merged := Merge(0, lists...)
	assert.Equal(t, len(merged), 2*messages)
	for i, e := range merged {
		kind := []string{"Sent", "Received"}[i%2]
		assert.Assert(t, e.Kind == kind && e.Object == fmt.Sprint(i/2), "event %d is %s %s", i, e.Kind, e.Object)
	}
}

// Guards against events that are returned in the order of recording although RecordAt received an earlier stamp.
func TestEventsAreSortedByStamp(t *testing.T) {
	r := New("vm-1", timer.NewVirtual(start))
	s := r.NextStamp()
	r.Record("part", "Effect", "x", "")
	r.RecordAt(s, "part", "Cause", "x", "")
	events := r.Events(Filter{})
	assert.Equal(t, events[0].Kind, "Cause")
	assert.Equal(t, events[1].Kind, "Effect")
}

// Guards against a peer with a wrong clock that advances the clocks of all others.
func TestObserveIgnoresStampsBeyondMaxDrift(t *testing.T) {
	r := New("vm-1", timer.NewVirtual(start))
	r.Observe(Stamp{
		Wall: start.Add(MaxDrift + time.Second).UnixMicro(),
	})
	assert.Assert(t, !r.NextStamp().Time().After(start))
}

// Guards against filters with wrong bounds and against a full ring buffer that does not overwrite its oldest events.
func TestFiltersAndCapacity(t *testing.T) {
	clock := timer.NewVirtual(start)
	r := New("vm-1", clock)
	for n := range Capacity + 10 {
		clock.Advance(time.Millisecond)
		r.Record([]string{"mover", "owner"}[n%2], "Kind", fmt.Sprintf("object-%d", n), "")
	}
	all := r.Events(Filter{})
	assert.Equal(t, len(all), Capacity)
	assert.Equal(t, all[0].Object, "object-10")
	assert.Equal(t, len(r.Events(Filter{
		Part: "mover",
	})), Capacity/2)
	assert.Equal(t, r.Events(Filter{
		Object: "object-5000",
	})[0].Stamp.Time().UTC(), start.Add(5001*time.Millisecond))
	assert.Equal(t, len(r.Events(Filter{
		Since: start.Add(1001 * time.Millisecond),
		Until: start.Add(1010 * time.Millisecond),
	})), 10)
	assert.Equal(t, r.Events(Filter{
		Limit: 1,
	})[0].Object, fmt.Sprintf("object-%d", Capacity+9))
}
