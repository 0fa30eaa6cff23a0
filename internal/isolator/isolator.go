// Package isolator recognizes requests that crash each backend server that runs them, and isolates them: they are sent to no more
// servers. The VMs tell each other which requests they have seen run at the crash of a server.
package isolator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// proofLifetime is how long it is remembered that a server has survived a request. It is longer than reportLifetime, so that a
	// report of an older crash is recognized as outdated.
	proofLifetime = time.Minute
	// singleLifetime is how long crashes are remembered that do not isolate a request, and isolatedLifetime those that do.
	singleLifetime   = 20 * time.Minute
	isolatedLifetime = 24 * time.Hour
	// restrictionPause limits how often restrictions are passed on while many requests crash servers.
	restrictionPause = 30 * time.Millisecond
	// maxEntries limits the number of entries, one for each request at each service and one for each request.
	// They are removed many at a time, down to keptEntries, because choosing them means to sort all.
	maxEntries  = 4096
	keptEntries = maxEntries * 15 / 16
)

// Key identifies requests with the same contents for the same service, or for any.
type Key uint64

// Subject identifies requests with the same contents. What they do at one service counts at another one as well, to which a change of the
// configuration may send them, until a server of that service has survived them.
type Subject struct {
	// Key identifies them for a service, Contents for all services. Contents is 0 if it is not known.
	Key      Key
	Contents Key
}

// NewSubject returns the subject of requests with a fingerprint for a service.
func NewSubject(service string, fingerprint uint64) Subject {
	return Subject{
		Key:      Key(xxhash.Sum64String(service) ^ fingerprint),
		Contents: Key(xxhash.Sum64String("") ^ fingerprint),
	}
}

// Admission states how many servers a request may be sent to. It is sealed: Free, Single or Refused, and afterIsolation, which Admit turns
// into one of the last two.
type Admission interface{ isAdmission() }

// Free admits a request without a restriction.
type Free struct{}

// Single admits a request to one server, without retries and hedges.
type Single struct{}

// Refused admits a request to no server before Until.
type Refused struct {
	Until time.Time
}

// afterIsolation means that the isolation has ended and that no server has survived a request since.
type afterIsolation struct {
	// ended is the time at which the isolation has ended.
	ended time.Time
}

func (Free) isAdmission()           {}
func (Single) isAdmission()         {}
func (Refused) isAdmission()        {}
func (afterIsolation) isAdmission() {}

// Answer is the answer of a server to a request. It is only logged.
type Answer struct {
	Request string
	Server  string
	Status  int
}

// Isolator tracks requests that ran at the crash of a server. Its methods are safe for concurrent use.
type Isolator struct {
	log zerolog.Logger
	// position returns the position of this VM among all VMs, counted from 0, and their number. The position is -1 if this VM is not on
	// their list. If it is nil, there is no other VM.
	position func() (position, n int)

	mu      sync.Mutex
	entries map[Key]*entry
	// recent are the reports for VMs that were told recently, as of recentAt. It is nil if a restriction has changed since.
	recent   []messenger.CrashReport
	recentAt time.Time
	// tracked is the number of entries. It is read without the lock, so that nothing is computed for a request while no server
	// has crashed.
	tracked atomic.Int64
	// restrictions is written when crashes restrict requests more than before.
	restrictions blackboard.Section[struct{}]
	// ownRestrictions counts the writes of restrictions for crashes that this VM has seen.
	ownRestrictions atomic.Uint64
	// crashes, lifted and forgotten are returned by Crashes, Lifted and Forgotten.
	crashes   atomic.Uint64
	lifted    atomic.Uint64
	forgotten atomic.Uint64
}

// New returns an Isolator that has seen no crash. position returns the position of this VM among all VMs, counted from 0 and -1 if it is not
// on their list, and their number. It is nil if there is only one.
func New(position func() (position, n int), log zerolog.Logger) *Isolator {
	return &Isolator{
		log:      log,
		position: position,
		entries:  map[Key]*entry{},
	}
}

// Active reports whether any request is tracked. While none is, Admit returns Free for each and RecordSurvival has no effect.
func (i *Isolator) Active() bool {
	return i.tracked.Load() > 0
}

// Admit returns how many servers a request of the subject may be sent to. It has to be called once before the first attempt.
func (i *Isolator) Admit(s Subject, now time.Time) Admission {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.deciding(s)
	a := i.admission(k, now)
	ended, ok := a.(afterIsolation)
	if !ok {
		return a
	}
	e := i.entries[k]
	if now.Sub(e.attemptedAt) < attemptTurn || !i.hasTurn(k, now.Sub(ended.ended)) {
		return Refused{
			Until: now.Add(attemptTurn),
		}
	}
	e.attemptedAt = now
	return Single{}
}

// MayRepeat reports whether a request of the subject may be sent to more servers after the first attempt.
func (i *Isolator) MayRepeat(s Subject, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, free := i.admit(s, now).(Free)
	return free
}

// IsIsolated reports whether requests of the subject that have been admitted before must not be sent any more.
func (i *Isolator) IsIsolated(s Subject, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, refused := i.admit(s, now).(Refused)
	return refused
}

// hasTurn reports whether it is this VM's turn to send requests with the key, an age after the end of their isolation.
func (i *Isolator) hasTurn(k Key, age time.Duration) bool {
	position, n := 0, 1
	if i.position != nil {
		position, n = i.position()
	}
	if n <= 1 {
		return position == 0
	}
	turn, offset := int(age/attemptTurn), age%attemptTurn
	return (turn+int(k%Key(n)))%n == position && offset >= turnMargin && offset < attemptTurn-turnMargin
}

// admit returns the admission of requests of the subject. The caller must hold i.mu.
func (i *Isolator) admit(s Subject, now time.Time) Admission {
	return i.admission(i.deciding(s), now)
}

// deciding returns the key of the entry that decides on requests of the subject: that of the service if it restricts them or if a server
// of the service has survived them, otherwise that of any service. The caller must hold i.mu.
func (i *Isolator) deciding(s Subject) Key {
	if e, ok := i.entries[s.Key]; ok && (len(e.crashes) >= suspectCrashes || !e.provedAt.IsZero()) {
		return s.Key
	}
	return s.Contents
}

// admission returns what the entry with the key decides. The caller must hold i.mu.
func (i *Isolator) admission(k Key, now time.Time) Admission {
	if e, ok := i.entries[k]; ok {
		return e.admission(now)
	}
	return Free{}
}

// Restricted returns a channel that is closed when crashes restrict requests more than before, which other VMs should hear of at once.
func (i *Isolator) Restricted() <-chan struct{} {
	return i.restrictions.Changed()
}

// everyRestriction calls f at each tick of period, and at once when crashes restrict requests more than before, until ctx is done.
func (i *Isolator) everyRestriction(ctx context.Context, t *timer.Service, period time.Duration, f func(now time.Time)) {
	tick := t.Subscribe(period)
	defer tick.Stop()
	restricted := i.Restricted()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-restricted:
		}
		// What is recorded while f runs leads to another call.
		restricted = i.Restricted()
		f(t.Now())
		t.Sleep(ctx, restrictionPause)
	}
}

// OwnRestrictions returns how often that was so for crashes that this VM has seen itself.
func (i *Isolator) OwnRestrictions() uint64 {
	return i.ownRestrictions.Load()
}

// Crashes returns how often this VM has seen a request run at the crash of a server, Lifted how often an answer has ended the restriction of
// requests, and Forgotten how many restricted requests were dropped for lack of room.
func (i *Isolator) Crashes() uint64 { return i.crashes.Load() }

// Lifted is described at Crashes.
func (i *Isolator) Lifted() uint64 { return i.lifted.Load() }

// Forgotten is described at Crashes.
func (i *Isolator) Forgotten() uint64 { return i.forgotten.Load() }

// RecordCrash records that a server crashed while it ran a request.
func (i *Isolator) RecordCrash(c Crash, now time.Time) {
	i.crashes.Add(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	taken := i.add(c, now)
	if taken && i.inSequence(c.Key) >= suspectCrashes {
		i.ownRestrictions.Add(1)
	}
	i.log.Info().Str("Request", c.Request).Uint64("Key", uint64(c.Key)).Uint64("Server", c.Server).Bool("Taken", taken).Int("InSequence", i.inSequence(c.Key)).Time("Began", c.Began).Time("At", c.At).Msg("A backend server crashed while it ran a request.")
}

// inSequence returns the number of crashes in sequence of requests with the key. The caller must hold i.mu.
func (i *Isolator) inSequence(k Key) int {
	if e, ok := i.entries[k]; ok {
		return len(e.crashes)
	}
	return 0
}

// add records a crash and reports whether it is now part of the sequence of its requests. The caller must hold i.mu.
func (i *Isolator) add(c Crash, now time.Time) bool {
	// The ID may be long.
	c.Request = ""
	e := i.entry(c.Key)
	e.contents = cmp.Or(c.Contents, e.contents)
	if !c.At.After(e.provedAt) || slices.ContainsFunc(e.crashes, c.sameServer) {
		return false
	}
	before := e.admission(now)
	if !e.insert(c) {
		return false
	}
	e.changedAt = now
	if c.Contents != 0 {
		i.addForAnyService(c, now)
	}
	if len(e.crashes) >= suspectCrashes {
		i.recent = nil
		defer i.restrictions.Write(&struct{}{})
	}
	switch after := e.admission(now).(type) {
	case Free:
	case Single:
		e.wasSuspect = true
	case Refused:
		e.wasSuspect = true
		if _, ok := before.(Refused); !ok {
			i.log.Warn().Uint64("Key", uint64(c.Key)).Int("Crashes", len(e.crashes)).Time("Until", after.Until).Msg("Requests are refused because equal ones crashed backend servers.")
		}
	}
	i.evict(now)
	return true
}

// addForAnyService adds a crash to the entry for any service. The caller must hold i.mu.
func (i *Isolator) addForAnyService(c Crash, now time.Time) {
	e := i.entry(c.Contents)
	e.anyService = true
	if !slices.ContainsFunc(e.crashes, c.sameServer) && e.insert(c) {
		e.changedAt = now
	}
}

// entry returns the entry of a key, which it creates if necessary. The caller must hold i.mu.
func (i *Isolator) entry(k Key) *entry {
	e, ok := i.entries[k]
	if !ok {
		e = &entry{}
		i.entries[k] = e
		i.tracked.Store(int64(len(i.entries)))
	}
	return e
}

// evict removes the entries beyond keptEntries if there are more than maxEntries: those that restrict nothing first, and isolated requests
// last, each kind by the time of the last change. The caller must hold i.mu.
func (i *Isolator) evict(now time.Time) {
	defer func() {
		i.tracked.Store(int64(len(i.entries)))
	}()
	if len(i.entries) <= maxEntries {
		return
	}
	keys := slices.SortedFunc(maps.Keys(i.entries), func(a, b Key) int {
		x, y := i.entries[a], i.entries[b]
		return cmp.Or(cmp.Compare(x.rank(now), y.rank(now)), x.changedAt.Compare(y.changedAt))
	})
	var forgotten uint64
	for _, k := range keys[:len(keys)-keptEntries] {
		if _, free := i.entries[k].admission(now).(Free); !free {
			forgotten++
		}
		delete(i.entries, k)
	}
	if forgotten > 0 {
		i.forgotten.Add(forgotten)
		i.log.Warn().Uint64("Count", forgotten).Msg("Requests that crashed backend servers are no longer restricted, because too many are tracked.")
	}
}

// RecordSurvival records that a server has answered a request of the subject with a success, which shows that such requests crash no servers
// of the service.
func (i *Isolator) RecordSurvival(s Subject, a Answer, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.admit(s, now)
	n := i.inSequence(s.Key)
	i.prove(s, now, now)
	if _, free := before.(Free); !free {
		i.lifted.Add(1)
	} else if n == 0 {
		return
	}
	i.log.Info().Str("Request", a.Request).Uint64("Key", uint64(s.Key)).Str("Server", a.Server).Int("Status", a.Status).Int("Crashes", n).Type("Before", before).Msg("An answer shows that requests did not cause the crashes they ran at.")
}

// prove records that a server has survived a request of the subject at a time, unless nothing is known of such requests. The caller must
// hold i.mu.
func (i *Isolator) prove(s Subject, at, now time.Time) {
	all, ok := i.entries[s.Contents]
	restricted := false
	if ok {
		_, free := all.admission(now).(Free)
		restricted = !free
		all.crashes = slices.DeleteFunc(all.crashes, func(c Crash) bool {
			return c.Key == s.Key && !c.At.After(at)
		})
	}
	if _, known := i.entries[s.Key]; !known && !restricted {
		return
	}
	e := i.entry(s.Key)
	e.contents = cmp.Or(s.Contents, e.contents)
	e.wasSuspect = e.wasSuspect || restricted
	if e.wasSuspect {
		i.recent = nil
	}
	e.prove(at, now)
}

// Expire removes what is no longer needed.
func (i *Isolator) Expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, e := range i.entries {
		if i.expired(e, now) {
			delete(i.entries, k)
		}
	}
	i.tracked.Store(int64(len(i.entries)))
}

// expired reports whether an entry is no longer needed. The caller must hold i.mu.
func (i *Isolator) expired(e *entry, now time.Time) bool {
	switch n := len(e.crashes); {
	case n >= isolationCrashes:
		return now.Sub(e.lastCrash()) > isolatedLifetime
	case n > 0:
		return now.Sub(e.lastCrash()) > singleLifetime
	}
	// A proof is needed as long as there are crashes at other services.
	if all, ok := i.entries[e.contents]; ok && len(all.crashes) > 0 {
		return false
	}
	return now.Sub(e.changedAt) > proofLifetime
}

// Isolated returns the number of keys whose requests are isolated, or were and have not been answered since.
func (i *Isolator) Isolated() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, e := range i.entries {
		if !e.anyService && len(e.crashes) >= isolationCrashes {
			n++
		}
	}
	return n
}
