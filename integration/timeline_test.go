package integration_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/mover"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// story is the time line of all VMs.
type story struct {
	t      *testing.T
	events []administrator.Event
}

// timeline runs the operators' command against a VM.
func (d *deployment) timeline(v *launcher.VM, args ...string) *story {
	d.t.Helper()
	args = append([]string{"timeline", "-json", "-limit=8192", "-operator=" + v.Operator.String()}, args...)
	out, err := exec.Command(filepath.Join(binDir, "anvildyke"), args...).Output()
	assert.NilError(d.t, err)
	var answer administrator.TimelineResponse
	assert.NilError(d.t, json.Unmarshal(out, &answer))
	return &story{
		t:      d.t,
		events: answer.Events,
	}
}

// find returns the positions of the events of a kind about an object whose detail contains the text, at the VM. Empty texts
// match all.
func (s *story) find(vm, kind, object, detail string) []int {
	var found []int
	for i, e := range s.events {
		if e.Kind == kind && (vm == "" || e.VM == vm) && (object == "" || e.Object == object) && strings.Contains(e.Detail, detail) {
			found = append(found, i)
		}
	}
	return found
}

// one returns the position of the first event that matches.
func (s *story) one(vm, kind, object, detail string) int {
	s.t.Helper()
	found := s.find(vm, kind, object, detail)
	assert.Assert(s.t, len(found) > 0, "no event %s about %s with %q at %s", kind, object, detail, vm)
	return found[0]
}

// chain checks that the events stand in the order of causes and effects.
func (s *story) chain(positions ...int) {
	s.t.Helper()
	for i, p := range positions[1:] {
		assert.Assert(s.t, positions[i] < p, "%+v stands after %+v", s.events[positions[i]], s.events[p])
	}
}

// Guards against a time line that leaves out an event of a story, shows an effect before its cause, or ignores its filters.
func TestTimelineTellsTheStory(t *testing.T) {
	t.Parallel()
	m := &migration{
		deployment: deploy(t, moveShape()),
	}
	m.startTraffic(callers, 120, route, otherRoad)
	entry := m.VM("capital-a-1")

	frozen := m.versionBackends(1)[0]
	froze := time.Now()
	assert.NilError(t, m.SetSwitches(frozen, "Frozen=true"))
	m.await("a hedge names the frozen server", func() bool {
		return m.timeline(entry, "-part=searcher").hedged(froze, frozen.Server.Name)
	})
	assert.NilError(t, m.SetSwitches(frozen, "Frozen=false"))

	out := zoneName(2)
	now := time.Now()
	m.plan = parser.Move{
		Name:        moveName,
		Application: application,
		From:        versionName(1),
		To:          versionName(2),
		Start:       now,
		FinishBy:    now.Add(4 * time.Second),
		Steps:       []int{50, 100},
	}
	set := append(slices.Clone(m.Set), m.plan)
	for i, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == out {
			z.State = parser.ZoneOutOfService
			set[i] = z
		}
	}
	assert.NilError(t, m.Apply(entry, set))
	m.await("the move is done", func() bool { return m.allOutcome(blackboard.MoveDone) })
	var stored mover.Status
	m.await("the outcome is stored", func() bool {
		_, stored = m.outcome()
		return stored.VM != ""
	})
	m.await("the outcome is announced", func() bool {
		return len(m.timeline(entry, "-part=mover").find(stored.VM, "MoveAnnounced", moveName, "")) > 0
	})
	s := m.timeline(entry)
	s.checkOrder()
	s.checkStart(froze, frozen.Server.Name)
	s.checkSet(m.VMs(), entry.Name, out)
	s.checkMove(m.VMs(), stored.VM)
	s.checkFilters(m, entry, froze, out)
	s.checkOwnerChange(m, entry)
}

func (s *story) checkOrder() {
	s.t.Helper()
	vms := map[string]bool{}
	for i, e := range s.events {
		vms[e.VM] = true
		assert.Assert(s.t, i == 0 || !e.Time.Before(s.events[i-1].Time))
	}
	assert.Equal(s.t, len(vms), 6)
}

func (s *story) checkStart(froze time.Time, frozen string) {
	s.t.Helper()
	assert.Assert(s.t, s.hedged(froze, frozen))
}

// hedged reports whether a hedge after the time names the server. A server may have been slow before, while it started.
func (s *story) hedged(after time.Time, server string) bool {
	return slices.ContainsFunc(s.find("", "Hedge", "", server), func(i int) bool { return s.events[i].Time.After(after) })
}

// checkSet checks the second generation, which takes a zone out.
func (s *story) checkSet(vms []*launcher.VM, publisher, zone string) {
	s.t.Helper()
	published := s.one(publisher, "GenerationPublished", "2", "AvailabilityZone/"+zone)
	for _, v := range vms {
		s.chain(published, s.one(v.Name, "GenerationInstalled", "2", ""), s.one(v.Name, "ZoneState", zone, "Out"))
		if v.Zone == zone {
			s.chain(s.one(v.Name, "ZoneState", zone, "Out"), s.one(v.Name, "Phase", "ZoneOut", ""))
		}
	}
}

// checkMove checks the steps of the move at each VM and its outcome, which one of them stored.
func (s *story) checkMove(vms []*launcher.VM, storedBy string) {
	s.t.Helper()
	done := s.one(storedBy, "MoveStep", moveName, "Done")
	for _, v := range vms {
		s.chain(
			s.one(v.Name, "GenerationInstalled", "2", ""),
			s.one(v.Name, "MoveStep", moveName, "share 500 per mille"),
			s.one(v.Name, "MoveStep", moveName, "share 1000 per mille"),
			s.one(v.Name, "MoveStep", moveName, "Done"),
		)
	}
	// Other VMs record it too when they read the stored outcome themselves.
	for _, announced := range s.find("", "MoveAnnounced", moveName, "") {
		s.chain(done, announced)
	}
}

func (s *story) checkFilters(m *migration, entry *launcher.VM, froze time.Time, zone string) {
	s.t.Helper()
	for _, e := range m.timeline(entry, "-part=mover").events {
		assert.Equal(s.t, e.Part, "mover")
	}
	byObject := m.timeline(entry, "-object="+zone).events
	assert.Assert(s.t, len(byObject) > 0)
	for _, e := range byObject {
		assert.Assert(s.t, strings.Contains(e.Object, zone))
	}
	since := m.timeline(entry, fmt.Sprintf("-since=%s", time.Since(froze).Round(time.Millisecond)))
	assert.Equal(s.t, len(since.find("", "GenerationInstalled", "1", "")), 0)
	assert.Equal(s.t, len(since.find("", "GenerationInstalled", "2", "")), len(m.VMs()))
}

// checkOwnerChange kills a VM and follows one of its replicas to the other VM of the zone.
func (s *story) checkOwnerChange(m *migration, entry *launcher.VM) {
	s.t.Helper()
	const zone = "litoral-a"
	state, ok := m.status(entry)
	assert.Assert(s.t, ok)
	i := slices.IndexFunc(state.Replicas, func(r administrator.Replica) bool {
		return r.AvailabilityZone == zone && r.Version == versionName(2) && r.Owner != ""
	})
	assert.Assert(s.t, i >= 0)
	replica, killed := state.Replicas[i].Name, state.Replicas[i].Owner
	heir := zone + "-1"
	if killed == heir {
		heir = zone + "-2"
	}
	before := time.Now()
	m.VM(killed).Kill()
	const whole = "to holder of the whole"
	var after *story
	m.await("the replica has a new owner", func() bool {
		after = m.timeline(entry, "-since="+time.Since(before).String())
		return len(after.find(heir, "ReplicaTaken", replica, "")) > 0 && len(after.find(heir, "Holding", replica, whole)) > 0
	})
	after.checkTime(before)
	holding := after.one(heir, "Holding", replica, whole)
	after.chain(after.one("", "MemberGone", killed, "connection refused"), holding)
	// Half of the limit may have passed before, by the lapse of the lease.
	if taken := after.find(heir, "ReplicaTaken", replica, "the whole limit"); len(taken) > 0 {
		after.chain(holding, taken[0])
	}
}

func (s *story) checkTime(since time.Time) {
	s.t.Helper()
	for _, e := range s.events {
		assert.Assert(s.t, !e.Time.Before(since.Add(-time.Second)))
	}
}
