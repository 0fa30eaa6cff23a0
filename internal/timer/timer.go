// Package timer provides the current time and ticks. Components subscribe to its Service instead of creating tickers of their
// own, so that tests can control the time with a virtual clock.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service provides the current time and periodic or single ticks of a system or virtual clock.
type Service struct {
	clock clock
}

// clock is sealed; it is a wallClock or a *virtualClock.
type clock interface{ isClock() }

type wallClock struct{}

func (wallClock) isClock() {}

// NewWall returns a service that uses the system clock.
func NewWall() *Service {
	return &Service{
		clock: wallClock{},
	}
}

// NewVirtual returns a service whose clock shows start and moves only when Advance is called.
func NewVirtual(start time.Time) *Service {
	return &Service{
		clock: &virtualClock{
			now: start,
		},
	}
}

// Now returns the time of the virtual clock, or the system time if the service has none.
func (s *Service) Now() time.Time {
	switch c := s.clock.(type) {
	case *virtualClock:
		return c.currentTime()
	default:
		return time.Now()
	}
}

// Subscribe delivers a tick every period, which must be positive. Ticks are dropped while the subscriber has not received the
// previous one.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	switch c := s.clock.(type) {
	case *virtualClock:
		return c.subscribe(period, period)
	default:
		t := time.NewTicker(period)
		return &Subscription{
			C:    t.C,
			stop: t.Stop,
		}
	}
}

// After delivers a single tick once d has passed.
func (s *Service) After(d time.Duration) *Subscription {
	switch c := s.clock.(type) {
	case *virtualClock:
		return c.subscribe(d, 0)
	default:
		t := time.NewTimer(d)
		return &Subscription{
			C: t.C,
			stop: func() {
				t.Stop()
			},
		}
	}
}

// Sleep returns once d has passed or ctx is done.
func (s *Service) Sleep(ctx context.Context, d time.Duration) {
	end := s.After(d)
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
	}
}

// Every calls f at each tick of period until ctx is done.
func (s *Service) Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	tick := s.Subscribe(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(now)
		}
	}
}

// Advance moves a virtual clock forward by d and delivers the ticks that are due. It has no effect on the system clock.
func (s *Service) Advance(d time.Duration) {
	if c, ok := s.clock.(*virtualClock); ok {
		c.advance(d)
	}
}

// Subscription delivers the ticks of one subscriber.
type Subscription struct {
	// C carries the time of each tick and is never closed.
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() {
	s.stop()
}

type virtualClock struct {
	mu   sync.Mutex
	now  time.Time
	subs []*virtualSubscription
}

func (*virtualClock) isClock() {}

type virtualSubscription struct {
	c      chan time.Time
	due    time.Time
	period time.Duration
}

func (v *virtualClock) currentTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

func (v *virtualClock) subscribe(first, period time.Duration) *Subscription {
	v.mu.Lock()
	defer v.mu.Unlock()
	sub := &virtualSubscription{
		c:      make(chan time.Time, 1),
		due:    v.now.Add(first),
		period: period,
	}
	v.subs = append(v.subs, sub)
	return &Subscription{
		C: sub.c,
		stop: func() {
			v.remove(sub)
		},
	}
}

func (v *virtualClock) remove(sub *virtualSubscription) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, s := range v.subs {
		if s == sub {
			v.subs = append(v.subs[:i], v.subs[i+1:]...)
			return
		}
	}
}

func (v *virtualClock) advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	end := v.now.Add(d)
	for {
		next := v.nextDue()
		if next == nil || next.due.After(end) {
			break
		}
		v.now = next.due
		v.fire(next)
	}
	v.now = end
}

func (v *virtualClock) nextDue() *virtualSubscription {
	var first *virtualSubscription
	for _, s := range v.subs {
		if first == nil || s.due.Before(first.due) {
			first = s
		}
	}
	return first
}

func (v *virtualClock) fire(s *virtualSubscription) {
	select {
	case s.c <- v.now:
	default:
	}
	if s.period > 0 {
		s.due = s.due.Add(s.period)
		return
	}
	for i, other := range v.subs {
		if other == s {
			v.subs = append(v.subs[:i], v.subs[i+1:]...)
			return
		}
	}
}
