// Package recorder keeps the events of one process in a bounded ring buffer and orders events of several processes by hybrid
// logical clocks (Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014), so that a cause
// sorts before its effect even when the wall clocks of the VMs differ.
package recorder

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/timer"
)

// Capacity is the maximum number of events that a Recorder keeps. Beyond it, each new event overwrites the oldest one.
const Capacity = 8192

// MaxDetailBytes is the maximum length of an event's detail in bytes. Longer details are truncated.
const MaxDetailBytes = 256

// MaxDrift limits how far a received stamp may advance the logical clock beyond the local wall clock.
const MaxDrift = time.Minute

// Stamp is a value of a hybrid logical clock.
type Stamp struct {
	// Wall is the wall-clock part in microseconds since the Unix epoch.
	Wall int64
	// Logical is a counter that determines the order of stamps with the same Wall.
	Logical uint32
}

// Compare returns -1 if s is before other, 0 if they are equal, and 1 if s is after other.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Wall, other.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, other.Logical)
}

// Time returns the wall-clock part of s.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(s.Wall)
}

// Event is one entry of the timeline.
type Event struct {
	Stamp Stamp
	VM    string
	// Part is the component of the process that recorded the event, for example "mover".
	Part string
	// Kind is the type of the event, for example "Hedge" or "GenerationInstalled".
	Kind string
	// Object identifies the subject of the event, for example a request ID, a backend server, a move or a zone.
	Object string
	Detail string
}

// Filter selects events. Fields with the zero value match all events.
type Filter struct {
	Part string
	// Object matches events whose Object contains it.
	Object string
	// Since and Until are inclusive and compared with the wall-clock part of the stamp.
	Since time.Time
	Until time.Time
	// Limit is the maximum number of events, of which the latest are returned; 0 stands for Capacity.
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

// Recorder contains the events and the hybrid logical clock of one process. Its methods are safe for concurrent use.
type Recorder struct {
	vm    string
	timer *timer.Service

	mu sync.Mutex
	// last is the latest stamp that was issued or observed.
	last Stamp
	// ring contains at most Capacity events. When it is full, next is the index of the oldest one.
	ring []Event
	next int
}

// New returns an empty Recorder for the named VM.
func New(vm string, t *timer.Service) *Recorder {
	return &Recorder{
		vm:    vm,
		timer: t,
	}
}

// NextStamp advances the clock and returns the stamp of a local event or of a message to be sent.
func (r *Recorder) NextStamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextStampLocked()
}

// nextStampLocked implements NextStamp. It requires that mu is locked.
func (r *Recorder) nextStampLocked() Stamp {
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

// Observe advances the clock to the stamp of a received message if that is later, so that the next local stamp is after it. It
// ignores a stamp that is more than MaxDrift ahead of the local wall clock.
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

// Record adds an event with the next stamp.
func (r *Recorder) Record(part, kind, object, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendLocked(r.nextStampLocked(), part, kind, object, detail)
}

// RecordAt adds an event with a stamp that NextStamp returned earlier. It is meant for actions whose success is known only after
// other VMs may have observed the effect, such as a write to the platform.
func (r *Recorder) RecordAt(s Stamp, part, kind, object, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendLocked(s, part, kind, object, detail)
}

// appendLocked adds an event to the ring buffer. It requires that mu is locked.
func (r *Recorder) appendLocked(s Stamp, part, kind, object, detail string) {
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

// Events returns the events that match f in ascending order of their stamps.
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
	// RecordAt may have added an event after events with later stamps.
	slices.SortStableFunc(events, func(a, b Event) int { return a.Stamp.Compare(b.Stamp) })
	return latest(events, f.Limit)
}

// Merge returns the latest events of several processes, at most limit, in ascending order of their stamps. Events with equal
// stamps are ordered by VM name. A limit of 0 stands for Capacity.
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

// latest returns the last events of a sorted slice, at most limit and at most Capacity.
func latest(events []Event, limit int) []Event {
	if limit <= 0 || limit > Capacity {
		limit = Capacity
	}
	return events[max(0, len(events)-limit):]
}
