package isolator_test

import (
	"cmp"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/isolator"
)

var start = time.Unix(100000, 0)

func parseTime(t *testing.T, text string) time.Time {
	t.Helper()
	ms, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// subject returns the subject of the requests a at the service 1, or that of the requests a at the service 2 for "a@2".
func subject(name string) isolator.Subject {
	name, service, _ := strings.Cut(name, "@")
	return isolator.NewSubject(cmp.Or(service, "1"), xxhash.Sum64String(name))
}

// Guards against requests that crash server after server (review case 5), and against the isolation of requests that only ran beside
// them, that ran when several servers crashed at the same time, or that a server has answered since.
func TestSequencesOfCrashes(t *testing.T) {
	data, err := os.ReadFile("testdata/crashes.txt")
	assert.NilError(t, err)
	own, other := isolator.New(nil, zerolog.Nop()), isolator.New(nil, zerolog.Nop())
	var lastTold time.Time
	// ahead is how much the clock of the other VM is ahead.
	var ahead time.Duration
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		now := parseTime(t, words[0])
		otherNow := now.Add(ahead)
		i, clock, words := own, time.Duration(0), words[1:]
		if words[0] == "other" {
			i, clock, words = other, ahead, words[1:]
		}
		now = now.Add(clock)
		switch words[0] {
		case "crash":
			i.RecordCrash(isolator.Crash{
				Subject: subject(words[1]),
				Server:  xxhash.Sum64String(words[2]),
				Began:   parseTime(t, words[3]).Add(clock),
				At:      now,
			}, now)
		case "survive":
			i.RecordSurvival(subject(words[1]), isolator.Answer{}, now)
		case "exchange":
			reports := own.Reports(lastTold, now)
			own.Merge(other.Reports(lastTold.Add(ahead), otherNow), now)
			other.Merge(reports, otherNow)
			lastTold = now
		case "clock":
			ms, err := strconv.Atoi(words[1])
			assert.NilError(t, err)
			ahead = time.Duration(ms) * time.Millisecond
		case "want":
			assert.Equal(t, describe(i.Admit(subject(words[1]), now)), words[2], line)
		case "isolated":
			assert.Equal(t, strconv.Itoa(i.Isolated()), words[1], line)
		default:
			t.Fatalf("unknown step: %s", line)
		}
	}
}

func describe(a isolator.Admission) string {
	switch a.(type) {
	case isolator.Single:
		return "single"
	case isolator.Refused:
		return "refused"
	default:
		return "free"
	}
}

// Guards against reports and entries that grow without bound while many servers crash under load.
func TestReportsAreBounded(t *testing.T) {
	i := isolator.New(nil, zerolog.Nop())
	for n := range 10000 {
		i.RecordCrash(isolator.Crash{
			Subject: isolator.NewSubject("", uint64(n)),
			Server:  uint64(n),
			Began:   start,
			At:      start.Add(time.Duration(n) * time.Microsecond),
		}, start)
	}
	assert.Assert(t, len(i.Reports(time.Time{}, start.Add(time.Second))) <= 128)
	assert.Assert(t, i.Active())
	i.Expire(start.Add(time.Hour))
	assert.Assert(t, !i.Active())
}

// Thousands of other requests run at crashes after requests have been isolated. Guards against a memory that is full of harmless requests and
// forgets those that crash servers, and against reports that are too many for a message, so that other VMs never hear of the isolated ones
// (issue 43).
func TestIsolatedRequestsOutlastCrashesOfOthers(t *testing.T) {
	const isolated = 200
	own, other, started := isolator.New(nil, zerolog.Nop()), isolator.New(nil, zerolog.Nop()), isolator.New(nil, zerolog.Nop())
	crash := func(request, server int, at time.Time) {
		own.RecordCrash(isolator.Crash{
			Subject: isolator.NewSubject("1", uint64(request)),
			Server:  uint64(server),
			Began:   at.Add(-time.Millisecond),
			At:      at,
		}, at)
	}
	for n := range isolated {
		for c := range 3 {
			crash(1000000+n, 3*n+c, start.Add(time.Duration(c)*time.Second))
		}
	}
	now := start.Add(time.Minute)
	for n := range 5000 {
		crash(n, 10000+n, now)
	}
	assert.Equal(t, own.Isolated(), isolated)
	started.Merge(own.All(now), now)
	assert.Equal(t, started.Isolated(), isolated)
	// Within 30 s of exchanges twice a second the other VM hears of all of them, although other servers crash all the time.
	for n := range 60 {
		now = now.Add(500 * time.Millisecond)
		for c := range 200 {
			crash(10000+200*n+c, 100000+200*n+c, now)
		}
		other.Merge(own.Reports(now.Add(-500*time.Millisecond), now), now)
	}
	assert.Equal(t, other.Isolated(), isolated)
}

// A request that was isolated arrives at all VMs all the time. Guards against VMs that all try a server at the same moment once the isolation
// has ended, and against VMs that never do (issue 43).
func TestVMsTakeTurnsAfterIsolation(t *testing.T) {
	const vms = 7
	var all []*isolator.Isolator
	for position := range vms {
		i := isolator.New(func() (int, int) { return position, vms }, zerolog.Nop())
		for c := range 3 {
			at := start.Add(time.Duration(c) * time.Second)
			i.RecordCrash(isolator.Crash{
				Subject: subject("a"),
				Server:  uint64(c),
				Began:   at.Add(-time.Millisecond),
				At:      at,
			}, at)
		}
		all = append(all, i)
	}
	end := start.Add(2*time.Second + 10*time.Minute)
	admitted := map[int]int{}
	last := end.Add(-time.Hour)
	for now := end; now.Before(end.Add(2 * vms * 5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for n, i := range all {
			if describe(i.Admit(subject("a"), now)) != "single" {
				continue
			}
			admitted[n]++
			assert.Assert(t, now.Sub(last) > 2*time.Second, "VM %d is admitted %v after another one", n, now.Sub(last))
			last = now
		}
	}
	for n := range vms {
		assert.Equal(t, admitted[n], 2)
	}
}

// Requests are isolated while hundreds of others run at crashes. Guards against news that are cut off where the harmless crashes end, and against
// isolated requests that are never in a message that goes out every 5 s only (issue 43).
func TestZonesHearOfIsolatedRequests(t *testing.T) {
	const isolated = 80
	for _, told := range []string{"news", "rare"} {
		own, other := isolator.New(nil, zerolog.Nop()), isolator.New(nil, zerolog.Nop())
		now := start
		record := func(request, server int) {
			own.RecordCrash(isolator.Crash{
				Subject: isolator.NewSubject("1", uint64(request)),
				Server:  uint64(server),
				Began:   now.Add(-time.Millisecond),
				At:      now,
			}, now)
		}
		for n := range isolated {
			for c := range 3 {
				now = now.Add(time.Second)
				record(n, 3*n+c)
			}
			for c := range 300 {
				record(1000+300*n+c, 100000+300*n+c)
			}
			if told == "news" {
				other.Merge(own.News(now.Add(-time.Second), now.Add(400*time.Millisecond)), now)
			}
		}
		for range 20 {
			now = now.Add(5 * time.Second)
			if told == "rare" {
				other.Merge(own.RareReports(now.Add(-500*time.Millisecond), 5*time.Second, now), now)
			}
		}
		assert.Equal(t, other.Isolated(), isolated, told)
	}
}
