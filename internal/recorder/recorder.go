// Package recorder keeps the events of one process in a bounded ring buffer and orders events of several processes by hybrid
// logical clocks (Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014), so that a cause
// sorts before its effect even when the clocks differ.
package recorder

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/timer"
)

// Capacity is the number of events that a process keeps. Older events are dropped.
const Capacity = 8192

// MaxDetailBytes is the greatest length of an event's detail in bytes.
const MaxDetailBytes = 256

// MaxDrift bounds how far a received stamp may move the clock ahead of the local time.
const MaxDrift = time.Minute

// Stamp is a hybrid logical clock value.
type Stamp struct {
	// Wall is in microseconds since the Unix epoch.
	Wall int64
	// Logical orders stamps with the same Wall.
	Logical uint32
}

// Compare returns -1, 0 or 1 as s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Wall, other.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, other.Logical)
}

// Time returns the wall part as a time.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(s.Wall)
}

// Event is one entry of the time line.
type Event struct {
	Stamp Stamp
	VM    string
	// Part is the package that recorded the event.
	Part string
	// Kind names what happened, for example "Hedge" or "GenerationInstalled".
	Kind string
	// Object names what the event is about: a request ID, a backend server, a move, a zone.
	Object string
	Detail string
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Part   string
	Object string
	Since  time.Time
	Until  time.Time
	// Limit is the greatest number of events, the latest ones; 0 means Capacity.
	Limit int
}

func (f Filter) matches(e Event) bool {
	if f.Part != "" && f.Part != e.Part {
		return false
	}
	if f.Object != "" && !strings.Contains(e.Object, f.Object) {
		return false
	}
	at := e.Stamp.Time()
	if !f.Since.IsZero() && at.Before(f.Since) {
		return false
	}
	return f.Until.IsZero() || !at.After(f.Until)
}

// Recorder is the time line of one process. Its methods are safe for concurrent use.
type Recorder struct {
	vm    string
	timer *timer.Service

	mu   sync.Mutex
	last Stamp
	ring []Event
	next int
}

// New returns an empty recorder for the named VM.
func New(vm string, t *timer.Service) *Recorder {
	return &Recorder{
		vm:    vm,
		timer: t,
	}
}

// NextStamp advances the clock for a local event or a message to send.
func (r *Recorder) NextStamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

func (r *Recorder) tick() Stamp {
	wall := r.timer.Now().UnixMicro()
	if wall > r.last.Wall {
		r.last = Stamp{
			Wall: wall,
		}
		return r.last
	}
	r.last.Logical++
	return r.last
}

// Observe advances the clock past the stamp of a received message. A stamp more than MaxDrift ahead is ignored.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Wall > r.timer.Now().Add(MaxDrift).UnixMicro() {
		return
	}
	if s.Compare(r.last) > 0 {
		r.last = s
	}
}

// Record adds an event.
func (r *Recorder) Record(part, kind, object, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(r.tick(), part, kind, object, detail)
}

// RecordAt adds an event with a stamp that was taken before. It serves events whose success is known only after others may have
// seen their effect, such as a write at the platform.
func (r *Recorder) RecordAt(s Stamp, part, kind, object, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(s, part, kind, object, detail)
}

// add appends an event. The caller holds mu.
func (r *Recorder) add(s Stamp, part, kind, object, detail string) {
	if len(detail) > MaxDetailBytes {
		detail = detail[:MaxDetailBytes]
	}
	e := Event{
		Stamp:  s,
		VM:     r.vm,
		Part:   part,
		Kind:   kind,
		Object: object,
		Detail: detail,
	}
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % Capacity
}

// Events returns the events that match, in ascending order.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if f.matches(e) {
			events = append(events, e)
		}
	}
	// RecordAt may have added an event behind later ones.
	slices.SortStableFunc(events, func(a, b Event) int { return a.Stamp.Compare(b.Stamp) })
	return latest(events, f.Limit)
}

// Merge orders events of several processes and keeps the latest limit ones; 0 means Capacity.
func Merge(limit int, lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
	return latest(all, limit)
}

func latest(events []Event, limit int) []Event {
	if limit <= 0 || limit > Capacity {
		limit = Capacity
	}
	return events[max(0, len(events)-limit):]
}
