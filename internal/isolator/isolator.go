// Package isolator recognizes requests that crash each backend server that runs them, and isolates them: they are sent to no more
// servers. The VMs tell each other which requests they have seen run at the crash of a server.
package isolator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// suspectCrashes is the number of crashes in sequence after which a request gets single attempts only.
	suspectCrashes = 2
	// isolationCrashes is the number of crashes in sequence after which a request is sent to no servers.
	isolationCrashes = 3
	// A request is isolated for isolationTime after its last crash, or for twice the time between the last two crashes if that is
	// longer, up to maxIsolationTime. Then one VM at a time may send it to one server, each for attemptTurn.
	isolationTime    = 10 * time.Minute
	maxIsolationTime = 6 * time.Hour
	attemptTurn      = 5 * time.Second
	// turnMargin is the part of a turn, at its begin and its end, that is not used, because clocks differ and crashes spread.
	turnMargin = time.Second
	// proofLifetime is how long it is remembered that a server has survived a request. It is longer than reportLifetime, so that a
	// report of an older crash is recognized as outdated.
	proofLifetime = time.Minute
	// singleLifetime is how long crashes are remembered that do not isolate a request, and isolatedLifetime those that do.
	singleLifetime   = 20 * time.Minute
	isolatedLifetime = 24 * time.Hour
	// reportLifetime is how long a crash is reported to other VMs if it makes no request a suspect. It covers several exchanges.
	reportLifetime = 5 * time.Second
	// reportDelay is the time before a crash is reported. Most requests that ran at a crash are answered by another server within
	// that time, which shows that they did not cause it.
	reportDelay = 300 * time.Millisecond
	// maxEntries limits the number of entries, one for each tracked request and service and one for each request. Entries are removed many at a time, down to keptEntries, because
	// choosing them means to sort all.
	maxEntries  = 4096
	keptEntries = maxEntries * 15 / 16
	// newsTime is how long a change of a restriction is reported before all others. It covers several exchanges.
	newsTime = 3 * time.Second
	// maxReported limits the number of crashes and proofs in a message. At least reservedReports of them are for restrictions that have
	// not changed for newsTime. These take turns, each for turnTime, so that VMs that missed them hear of all.
	maxReported     = 128
	reservedReports = 48
	turnTime        = time.Second
	// maxSaved limits the number of crashes that a zone saves at the platform, whose objects have at most 1 MB.
	maxSaved = 4096
	// maxMerged limits the number of reports that are taken from a message. It is the number that All returns at most.
	maxMerged = maxEntries * isolationCrashes
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

// Crash is the crash of a server that ran a request.
type Crash struct {
	Subject
	// Request is the ID of the request, "" if another VM has sent it. It is only logged.
	Request string
	// Server is the hash of the key of the server's process.
	Server uint64
	// Began is the time at which the request was sent to the server, At the time at which its connection broke.
	Began time.Time
	At    time.Time
}

// sameServer reports whether both are crashes of the same process, seen by different requests or VMs.
func (c Crash) sameServer(other Crash) bool {
	return c.Server == other.Server
}

// Answer is the answer of a server to a request. It is only logged.
type Answer struct {
	Request string
	Server  string
	Status  int
}

// entry is what is known of the requests with a key.
type entry struct {
	// crashes are in sequence: each hit a request that was sent after the crash before. Requests that run when several servers crash at
	// the same time are not blamed for each of these crashes. There are at most isolationCrashes, the last ones, all later than provedAt.
	crashes []Crash
	// provedAt is the last time at which a server is known to have survived a request, the zero time if none is known.
	provedAt time.Time
	// changedAt is the time of the last change of the entry.
	changedAt time.Time
	// contents is the key of the entry of the same requests for any service, 0 if this is that entry or if it is not known.
	contents Key
	// anyService is set if this is the entry for any service. Other VMs are told of the others only, from which it follows.
	anyService bool
	// attemptedAt is the last time at which a request was admitted after an isolation, the zero time if none was.
	attemptedAt time.Time
	// wasSuspect is set once the requests have been restricted, so that a proof is told to other VMs.
	wasSuspect bool
}

// insert adds a crash and keeps the longest sequence, or its end if it is longer than isolationCrashes. It reports whether the crash is
// part of what is kept. No crash makes the sequence shorter.
func (e *entry) insert(c Crash) bool {
	all := append(slices.Clone(e.crashes), c)
	slices.SortStableFunc(all, func(a, b Crash) int {
		return a.At.Compare(b.At)
	})
	// Taking the crash that ends first among those that do not overlap yields the longest sequence.
	var sequence []Crash
	for _, x := range all {
		if len(sequence) == 0 || !x.Began.Before(sequence[len(sequence)-1].At) {
			sequence = append(sequence, x)
		}
	}
	e.crashes = sequence[max(0, len(sequence)-isolationCrashes):]
	return slices.ContainsFunc(e.crashes, c.sameServer)
}

// lastCrash returns the time of the last crash, the zero time if there is none.
func (e *entry) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].At
}

// Isolator tracks requests that ran at the crash of a server. Its methods are safe for concurrent use.
type Isolator struct {
	log zerolog.Logger
	// position returns the position of this VM among all VMs, counted from 0, and their number. The position is -1 if this VM is not on
	// their list. If it is nil, there is no other VM.
	position func() (position, n int)

	mu      sync.Mutex
	entries map[Key]*entry
	// tracked is the number of entries. It is read without the lock, so that nothing is computed for a request while no server
	// has crashed.
	tracked atomic.Int64
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

func (e *entry) admission(now time.Time) Admission {
	switch n := len(e.crashes); {
	case n >= isolationCrashes:
		until := e.lastCrash().Add(e.isolationTime())
		if now.Before(until) {
			return Refused{
				Until: until,
			}
		}
		return afterIsolation{
			ended: until,
		}
	case n >= suspectCrashes:
		return Single{}
	default:
		return Free{}
	}
}

// isolationTime returns how long requests are isolated after the last crash. It grows with each attempt after an isolation that crashes a
// server again.
func (e *entry) isolationTime() time.Duration {
	n := len(e.crashes)
	return min(max(isolationTime, 2*e.crashes[n-1].At.Sub(e.crashes[n-2].At)), maxIsolationTime)
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
	e := i.entry(c.Key)
	e.contents = c.Contents
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

// rank orders entries by how much would be lost without them.
func (e *entry) rank(now time.Time) int {
	switch e.admission(now).(type) {
	case Refused, afterIsolation:
		return 3
	case Single:
		return 2
	default:
		return min(1, len(e.crashes))
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
	e.contents = s.Contents
	e.wasSuspect = e.wasSuspect || restricted
	e.prove(at, now)
}

// prove discards the crashes up to the time at.
func (e *entry) prove(at, now time.Time) {
	if !at.After(e.provedAt) {
		return
	}
	e.provedAt = at
	e.changedAt = now
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool {
		return !c.At.After(at)
	})
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

// Reports returns what a VM should know that was told at the time lastTold for the last time: crashes that make requests suspects, proofs
// about former suspects, and the crashes since then of requests that no server has survived.
func (i *Isolator) Reports(lastTold, now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	since := now.Add(-reportLifetime)
	if told := lastTold.Add(-reportLifetime); !lastTold.IsZero() && told.Before(since) {
		since = told
	}
	var news, singles []messenger.CrashReport
	others := map[Key][]messenger.CrashReport{}
	for k, e := range i.entries {
		if e.anyService {
			continue
		}
		reports := e.reports(k, since, now)
		switch _, free := e.admission(now).(Free); {
		case free && len(e.crashes) > 0:
			singles = append(singles, reports...)
		case now.Sub(e.changedAt) < newsTime:
			news = append(news, reports...)
		default:
			others[k] = reports
		}
	}
	sortReports(news)
	sortReports(singles)
	old := inTurn(others, now)
	reserved := min(len(old), reservedReports)
	first := min(len(news), maxReported-reserved)
	all := slices.Concat(news[:first], old[:reserved], news[first:], singles, old[reserved:])
	return all[:min(len(all), maxReported)]
}

// inTurn returns the reports in an order that begins with those whose turn it is. A turn has reservedReports.
func inTurn(byKey map[Key][]messenger.CrashReport, now time.Time) []messenger.CrashReport {
	var all []messenger.CrashReport
	for _, k := range slices.Sorted(maps.Keys(byKey)) {
		all = append(all, byKey[k]...)
	}
	if len(all) == 0 {
		return nil
	}
	turn := now.UnixNano() / int64(turnTime)
	first := int(turn * reservedReports % int64(len(all)))
	return slices.Concat(all[first:], all[:first])
}

// All returns everything that a VM should know that knows nothing yet.
func (i *Isolator) All(now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	var all []messenger.CrashReport
	for k, e := range i.entries {
		if e.anyService {
			continue
		}
		all = append(all, e.reports(k, time.Time{}, now)...)
	}
	sortReports(all)
	return all
}

// durable returns what has to outlive the processes: the crashes of requests that no server has survived.
func (i *Isolator) durable(now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	var reports []messenger.CrashReport
	for k, e := range i.entries {
		if _, free := e.admission(now).(Free); e.anyService || free && now.Sub(e.lastCrash()) < durableDelay {
			continue
		}
		for _, c := range e.crashes {
			reports = append(reports, c.report(k, now))
		}
	}
	sortReports(reports)
	return reports[:min(len(reports), maxSaved)]
}

// report returns the report of a crash of requests with the key.
func (c Crash) report(k Key, now time.Time) messenger.CrashReport {
	return messenger.CrashReport{
		Key:      uint64(k),
		Contents: uint64(c.Contents),
		Server:   c.Server,
		Began:    c.Began,
		At:       c.At,
		Age:      now.Sub(c.At),
	}
}

// reports returns the reports about an entry. Crashes that restrict nothing are left out if they are older than since.
func (e *entry) reports(k Key, since, now time.Time) []messenger.CrashReport {
	var reports []messenger.CrashReport
	_, free := e.admission(now).(Free)
	for _, c := range e.crashes {
		if free && (now.Sub(c.At) < reportDelay || c.At.Before(since)) {
			continue
		}
		reports = append(reports, c.report(k, now))
	}
	if e.wasSuspect && len(e.crashes) == 0 && now.Sub(e.provedAt) < proofLifetime/2 {
		reports = append(reports, messenger.CrashReport{
			Key:      uint64(k),
			Contents: uint64(e.contents),
			At:       e.provedAt,
			Age:      now.Sub(e.provedAt),
			Survived: true,
		})
	}
	return reports
}

// sortReports sorts the newest reports first.
func sortReports(reports []messenger.CrashReport) {
	slices.SortFunc(reports, func(a, b messenger.CrashReport) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key))
	})
}

// maxClockDifference is the largest difference between the clocks of two VMs at which the times of a report are used. Otherwise its age is
// used, which is too low by the time that the message took.
const maxClockDifference = time.Second

// localTime returns the time At of a report by the clock of this VM. Like now, it is not affected by steps of this clock.
func localTime(r messenger.CrashReport, now time.Time) time.Time {
	at := now.Add(r.At.Sub(now))
	byAge := now.Add(-max(0, r.Age))
	if difference := at.Sub(byAge); r.Age > 0 && difference.Abs() > maxClockDifference || r.Age == 0 && difference > maxClockDifference {
		return byAge
	}
	return at
}

// Merge adds the reports of another VM.
func (i *Isolator) Merge(reports []messenger.CrashReport, now time.Time) {
	if len(reports) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxMerged)] {
		lasted := max(0, r.At.Sub(r.Began))
		r.At = localTime(r, now)
		r.Began = r.At.Add(-lasted)
		if now.Sub(r.At) > isolatedLifetime {
			continue
		}
		i.merge(r, now)
	}
}

// merge adds the report of another VM. The caller must hold i.mu.
func (i *Isolator) merge(r messenger.CrashReport, now time.Time) {
	s := Subject{
		Key:      Key(r.Key),
		Contents: Key(r.Contents),
	}
	before := i.admit(s, now)
	if r.Survived {
		i.prove(s, r.At, now)
	} else {
		i.add(Crash{
			Subject: s,
			Server:  r.Server,
			Began:   r.Began,
			At:      r.At,
		}, now)
	}
	after := i.admit(s, now)
	if fmt.Sprintf("%T", before) != fmt.Sprintf("%T", after) {
		i.log.Info().Uint64("Key", r.Key).Type("Before", before).Type("After", after).Msg("Reports of other VMs changed how many backend servers requests may be sent to.")
	}
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
