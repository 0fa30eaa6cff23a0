package isolator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// reportLifetime is how long a crash is reported to other VMs if it makes no request a suspect. It covers several exchanges.
	reportLifetime = 5 * time.Second
	// reportDelay is the time before a crash is reported. Most requests that ran at a crash are answered by another server within
	// that time, which shows that they did not cause it.
	reportDelay = 300 * time.Millisecond
	// newsMargin covers the time between the choice of what a VM is told and the time that is recorded for it.
	newsMargin = 50 * time.Millisecond
	// recentLifetime is how long the reports for VMs that were told recently are used again, unless a restriction changes meanwhile.
	recentLifetime = 250 * time.Millisecond
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

// Reports returns what a VM should know that was told at the time lastTold for the last time: crashes that make requests suspects, proofs
// about former suspects, and the crashes since then of requests that no server has survived. The result must not be modified.
func (i *Isolator) Reports(lastTold, now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !lastTold.IsZero() && now.Sub(lastTold) > reportLifetime {
		return i.choose(choice{
			since: lastTold.Add(-reportLifetime),
			turn:  turnTime,
		}, now)
	}
	if age := now.Sub(i.recentAt); i.recent == nil || age < 0 || age >= recentLifetime {
		i.recentAt = now
		i.recent = i.choose(choice{
			since: now.Add(-reportLifetime),
			turn:  turnTime,
		}, now)
	}
	return i.recent
}

// RareReports is like Reports for a VM that is told everything once in each interval only.
func (i *Isolator) RareReports(lastTold time.Time, interval time.Duration, now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.choose(choice{
		since: lastTold.Add(-reportLifetime),
		turn:  interval,
	}, now)
}

// News returns what has changed since a VM was told of everything before the time lastTold, the zero time if it never was.
func (i *Isolator) News(lastTold, now time.Time) []messenger.CrashReport {
	if !i.Active() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	// Changes that were too recent to be told then are included.
	since := lastTold.Add(-reportDelay - newsMargin)
	return i.choose(choice{
		since:        since,
		changedSince: since,
		turn:         turnTime,
	}, now)
}

// choice determines which reports go into a message.
type choice struct {
	// since is the time before which the receiver has been told of crashes that restrict nothing.
	since time.Time
	// changedSince leaves out what has not changed since then.
	changedSince time.Time
	// turn is the time between two messages to the receiver.
	turn time.Duration
}

// choose returns up to maxReported reports. The caller must hold i.mu.
func (i *Isolator) choose(c choice, now time.Time) []messenger.CrashReport {
	var news, singles []messenger.CrashReport
	others := map[Key][]messenger.CrashReport{}
	for k, e := range i.entries {
		if e.anyService || e.changedAt.Before(c.changedSince) {
			continue
		}
		reports := e.reports(k, c.since, now)
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
	old := inTurn(others, int(now.UnixNano()/int64(c.turn)))
	reserved := min(len(old), reservedReports)
	first := min(len(news), maxReported-reserved)
	all := slices.Concat(news[:first], old[:reserved], news[first:], singles, old[reserved:])
	return all[:min(len(all), maxReported)]
}

// inTurn returns the reports in an order that begins with those whose turn it is. A turn has reservedReports.
func inTurn(byKey map[Key][]messenger.CrashReport, turn int) []messenger.CrashReport {
	var all []messenger.CrashReport
	for _, k := range slices.Sorted(maps.Keys(byKey)) {
		all = append(all, byKey[k]...)
	}
	if len(all) == 0 {
		return nil
	}
	first := turn * reservedReports % len(all)
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
	var restricting, others []messenger.CrashReport
	for k, e := range i.entries {
		_, free := e.admission(now).(Free)
		if e.anyService || free && now.Sub(e.lastCrash()) < durableDelay {
			continue
		}
		for _, c := range e.crashes {
			if free {
				others = append(others, c.report(k, now))
			} else {
				restricting = append(restricting, c.report(k, now))
			}
		}
	}
	sortReports(restricting)
	sortReports(others)
	all := slices.Concat(restricting, others)
	return all[:min(len(all), maxSaved)]
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

// reports returns the reports about an entry. Crashes that restrict nothing are left out if they were known before since.
func (e *entry) reports(k Key, since, now time.Time) []messenger.CrashReport {
	var reports []messenger.CrashReport
	_, free := e.admission(now).(Free)
	for _, c := range e.crashes {
		if free && (now.Sub(c.At) < reportDelay || e.changedAt.Before(since)) {
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
