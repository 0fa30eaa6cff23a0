package isolator

import (
	"slices"
	"time"
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
)

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
