package balancer_test

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// withdrawalScript executes one case of testdata/withdrawals.txt.
type withdrawalScript struct {
	t *testing.T
	// vm receives the answers of the servers, collector collects the observations of its zone.
	vm, collector *balancer.Balancer
	servers       map[string]discoverer.Endpoint
	now           time.Time
	// toldAt is the time of the last message of the collector to the VM.
	toldAt time.Time
}

func newWithdrawalScript(t *testing.T) *withdrawalScript {
	s := &withdrawalScript{
		t:       t,
		servers: map[string]discoverer.Endpoint{},
		now:     start,
	}
	for _, b := range []**balancer.Balancer{&s.vm, &s.collector} {
		*b = balancer.New(balancer.Config{
			Zone:           "north",
			Region:         "north",
			DepartureGrace: 2 * time.Second,
		})
	}
	for i, name := range []string{"a", "b", "c"} {
		s.servers[name] = newEndpoint(i, "north")
	}
	return s
}

func (s *withdrawalScript) run(line string) {
	s.t.Helper()
	fields := strings.Fields(line)
	switch fields[0] {
	case "at":
		ms, err := strconv.Atoi(fields[1])
		assert.NilError(s.t, err)
		s.now = start.Add(time.Duration(ms) * time.Millisecond)
	case "reply":
		s.reply(s.vm, s.servers[fields[1]], fields[2:])
	case "tell":
		s.collector.AddObservations(s.vm.TakeObservations(s.now), s.now)
		s.vm.ApplyZoneHealth(s.collector.ZoneHealth(s.toldAt, s.now), s.now)
		s.toldAt = s.now
	case "lose":
		s.vm.ReturnObservations(s.vm.TakeObservations(s.now))
	case "collect":
		s.reply(s.collector, s.servers[fields[1]], fields[2:])
	case "forget":
		forgotten := s.servers[fields[1]].Key()
		s.vm.Retain(func(k discoverer.Key) bool { return k != forgotten }, func(string) bool { return true }, s.now)
	case "restart":
		process := *s.servers[fields[1]].Server
		process.StartTime = process.StartTime.Add(time.Hour)
		s.servers[fields[1]] = discoverer.Endpoint{
			Server: &process,
		}
	case "other:":
		s.check(s.collector, fields[1:])
	default:
		s.check(s.vm, fields)
	}
}

func (s *withdrawalScript) reply(b *balancer.Balancer, e discoverer.Endpoint, words []string) {
	s.t.Helper()
	r := balancer.AttemptResult{
		Outcome: balancer.Answered,
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "leaving":
			r.Leaving = true
		case "full":
			r.Outcome = balancer.Overloaded
		case "retry":
			d, err := time.ParseDuration(value)
			assert.NilError(s.t, err)
			r.RetryAfter = d
		default:
			s.t.Fatalf("unknown word %q", word)
		}
	}
	b.Begin(e, search.Name, s.now).End(r, s.now)
}

// check compares a selection or a waiting time with the expected one. A selection is repeated, because it contains a random part.
func (s *withdrawalScript) check(b *balancer.Balancer, fields []string) {
	s.t.Helper()
	i := slices.IndexFunc(fields, func(f string) bool { return f == "->" || f == "waits" })
	assert.Assert(s.t, i > 0, "unknown line %q", fields)
	var endpoints []discoverer.Endpoint
	names := map[discoverer.Key]string{}
	for _, name := range fields[:i] {
		endpoints = append(endpoints, s.servers[name])
		names[s.servers[name].Key()] = name
	}
	want := fields[i+1:]
	if fields[i] == "waits" {
		got := "never"
		if wait, ok := b.Wait(endpoints, s.now); ok {
			got = wait.String()
		}
		assert.Assert(s.t, got == want[0] || want[0] == "1h" && got == "1h0m0s", "%q: got %s", fields, got)
		return
	}
	for range 20 {
		got := "none"
		if e, ok := b.Select(newParams(s.now, endpoints...)); ok {
			got = names[e.Key()]
		}
		assert.Assert(s.t, slices.Contains(want, got), "%q: got %s", fields, got)
	}
}

// Guards against requests to servers that have announced that they are leaving or have asked for a pause: beside an older entry of
// the platform, after a restart at the same address, and if no other server is left.
func TestWithdrawals(t *testing.T) {
	data, err := os.ReadFile("testdata/withdrawals.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(data), "\n\n") {
		name, script, _ := strings.Cut(strings.TrimSpace(block), "\n")
		if strings.HasPrefix(name, "#") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			s := newWithdrawalScript(t)
			for _, line := range strings.Split(script, "\n") {
				s.run(line)
			}
		})
	}
}

// Many VMs send requests to one server that leaves while its load is high, and a second server takes over. Guards against a VM that
// sends more than the requests it had already started, although the stored entry says for seconds that the server is ready.
func TestDepartureUnderLoad(t *testing.T) {
	const vms = 20
	a, b := newEndpoint(0, "north"), newEndpoint(1, "north")
	for range vms {
		vm := newBalancer(vms)
		now := start
		sent := 0
		announced := false
		for range 500 {
			now = now.Add(5 * time.Millisecond)
			e, ok := vm.Select(newParams(now, a, b))
			assert.Assert(t, ok)
			attempt := vm.Begin(e, search.Name, now)
			r := balancer.AttemptResult{
				Outcome: balancer.Answered,
			}
			if e.ID == a.ID && now.Sub(start) > time.Second {
				if announced {
					sent++
				}
				r.Leaving = true
				announced = true
			}
			attempt.End(r, now.Add(4*time.Millisecond))
		}
		assert.Equal(t, sent, 0)
	}
}
