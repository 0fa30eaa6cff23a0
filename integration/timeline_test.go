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

// timeline contains the merged events of all VMs in time order.
type timeline struct {
	t      *testing.T
	events []administrator.Event
}

// timeline runs the command `anvildyke timeline` against a VM.
func (d *deployment) timeline(v *launcher.VM, args ...string) *timeline {
	d.t.Helper()
	args = append([]string{"timeline", "-json", "-limit=8192", "-operator=" + v.Operator.String()}, args...)
	out, err := exec.Command(filepath.Join(binDir, "anvildyke"), args...).Output()
	assert.NilError(d.t, err)
	var resp administrator.TimelineResponse
	assert.NilError(d.t, json.Unmarshal(out, &resp))
	return &timeline{
		t:      d.t,
		events: resp.Events,
	}
}

// find returns the indexes of the events with the given VM, kind and object whose detail contains the given text. An empty VM,
// object or detail matches all.
func (tl *timeline) find(vm, kind, object, detail string) []int {
	var found []int
	for i, e := range tl.events {
		if e.Kind == kind && (vm == "" || e.VM == vm) && (object == "" || e.Object == object) && strings.Contains(e.Detail, detail) {
			found = append(found, i)
		}
	}
	return found
}

// first returns the index of the first matching event and fails the test if there is none.
func (tl *timeline) first(vm, kind, object, detail string) int {
	tl.t.Helper()
	found := tl.find(vm, kind, object, detail)
	assert.Assert(tl.t, len(found) > 0, "no event of kind %s for %s with detail %q at %s", kind, object, detail, vm)
	return found[0]
}

// checkListedInOrder checks that the events at the given indexes are listed in the order of the arguments.
func (tl *timeline) checkListedInOrder(positions ...int) {
	tl.t.Helper()
	for i, p := range positions[1:] {
		assert.Assert(tl.t, positions[i] < p, "%+v is not listed before %+v", tl.events[positions[i]], tl.events[p])
	}
}

// Guards against a timeline that omits events, lists an effect before its cause, or ignores its filters.
func TestTimelineTellsTheStory(t *testing.T) {
	t.Parallel()
	m := &migration{
		deployment: deploy(t, moveSpec()),
	}
	m.startTraffic(callers, 120, route, otherRoute)
	entry := m.VM("capital-a-1")

	frozen := m.versionBackends(1)[0]
	frozenAt := time.Now()
	assert.NilError(t, m.SetSwitches(frozen, "Frozen=true"))
	m.await("a hedge names the frozen server", func() bool {
		return m.timeline(entry, "-part=searcher").hedged(frozenAt, frozen.Server.Name)
	})
	assert.NilError(t, m.SetSwitches(frozen, "Frozen=false"))

	outZone := zoneName(2)
	now := time.Now()
	m.move = parser.Move{
		Name:        moveName,
		Application: application,
		From:        versionName(1),
		To:          versionName(2),
		Start:       now,
		FinishBy:    now.Add(4 * time.Second),
		Steps:       []int{50, 100},
	}
	set := append(slices.Clone(m.Set), m.move)
	for i, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == outZone {
			z.State = parser.ZoneOutOfService
			set[i] = z
		}
	}
	assert.NilError(t, m.Apply(entry, set))
	m.await("every VM reports the move as done", func() bool { return m.allAtOutcome(blackboard.MoveDone) })
	var stored mover.Status
	m.await("the outcome is stored", func() bool {
		_, stored = m.storedOutcome()
		return stored.VM != ""
	})
	m.await("the outcome is announced", func() bool {
		return len(m.timeline(entry, "-part=mover").find(stored.VM, "MoveAnnounced", moveName, "")) > 0
	})
	tl := m.timeline(entry)
	tl.checkTimeOrder()
	tl.checkHedge(frozenAt, frozen.Server.Name)
	tl.checkGeneration(m.VMs(), entry.Name, outZone)
	tl.checkMove(m.VMs(), stored.VM)
	tl.checkFilters(m, entry, frozenAt, outZone)
	tl.checkOwnerChange(m, entry)
}

func (tl *timeline) checkTimeOrder() {
	tl.t.Helper()
	vms := map[string]bool{}
	for i, e := range tl.events {
		vms[e.VM] = true
		assert.Assert(tl.t, i == 0 || !e.Time.Before(tl.events[i-1].Time))
	}
	assert.Equal(tl.t, len(vms), 6)
}

func (tl *timeline) checkHedge(frozenAt time.Time, frozen string) {
	tl.t.Helper()
	assert.Assert(tl.t, tl.hedged(frozenAt, frozen))
}

// hedged reports whether a hedge after the given time names the server. Earlier ones don't count: the server may have been slow
// while it started.
func (tl *timeline) hedged(after time.Time, server string) bool {
	return slices.ContainsFunc(tl.find("", "Hedge", "", server), func(i int) bool { return tl.events[i].Time.After(after) })
}

// checkGeneration checks the events of the second generation, which takes a zone out of service.
func (tl *timeline) checkGeneration(vms []*launcher.VM, publisher, zone string) {
	tl.t.Helper()
	published := tl.first(publisher, "GenerationPublished", "2", "AvailabilityZone/"+zone)
	for _, v := range vms {
		tl.checkListedInOrder(published, tl.first(v.Name, "GenerationInstalled", "2", ""), tl.first(v.Name, "ZoneState", zone, "Out"))
		if v.Zone == zone {
			tl.checkListedInOrder(tl.first(v.Name, "ZoneState", zone, "Out"), tl.first(v.Name, "Phase", "ZoneOut", ""))
		}
	}
}

// checkMove checks the steps of the move at each VM, and that its outcome is announced after it was stored by one of them.
func (tl *timeline) checkMove(vms []*launcher.VM, storedBy string) {
	tl.t.Helper()
	done := tl.first(storedBy, "MoveStep", moveName, "Done")
	for _, v := range vms {
		tl.checkListedInOrder(
			tl.first(v.Name, "GenerationInstalled", "2", ""),
			tl.first(v.Name, "MoveStep", moveName, "share 500 per mille"),
			tl.first(v.Name, "MoveStep", moveName, "share 1000 per mille"),
			tl.first(v.Name, "MoveStep", moveName, "Done"),
		)
	}
	// Other VMs record the event too when they read the stored outcome.
	for _, announced := range tl.find("", "MoveAnnounced", moveName, "") {
		tl.checkListedInOrder(done, announced)
	}
}

func (tl *timeline) checkFilters(m *migration, entry *launcher.VM, frozenAt time.Time, zone string) {
	tl.t.Helper()
	for _, e := range m.timeline(entry, "-part=mover").events {
		assert.Equal(tl.t, e.Part, "mover")
	}
	byObject := m.timeline(entry, "-object="+zone).events
	assert.Assert(tl.t, len(byObject) > 0)
	for _, e := range byObject {
		assert.Assert(tl.t, strings.Contains(e.Object, zone))
	}
	since := m.timeline(entry, fmt.Sprintf("-since=%s", time.Since(frozenAt).Round(time.Millisecond)))
	assert.Equal(tl.t, len(since.find("", "GenerationInstalled", "1", "")), 0)
	assert.Equal(tl.t, len(since.find("", "GenerationInstalled", "2", "")), len(m.VMs()))
}

// checkOwnerChange kills a VM and checks the events by which the other VM of its zone takes over one of its replicas.
func (tl *timeline) checkOwnerChange(m *migration, entry *launcher.VM) {
	tl.t.Helper()
	const zone = "litoral-a"
	state, ok := m.status(entry)
	assert.Assert(tl.t, ok)
	i := slices.IndexFunc(state.Replicas, func(r administrator.Replica) bool {
		return r.AvailabilityZone == zone && r.Version == versionName(2) && r.Owner != ""
	})
	assert.Assert(tl.t, i >= 0)
	replica, killed := state.Replicas[i].Name, state.Replicas[i].Owner
	successor := zone + "-1"
	if killed == successor {
		successor = zone + "-2"
	}
	before := time.Now()
	m.VM(killed).Kill()
	const whole = "to holder of the whole"
	var after *timeline
	m.await("the replica has a new owner", func() bool {
		after = m.timeline(entry, "-since="+time.Since(before).String())
		return len(after.find(successor, "ReplicaTaken", replica, "")) > 0 && len(after.find(successor, "Holding", replica, whole)) > 0
	})
	after.checkNotBefore(before)
	holding := after.first(successor, "Holding", replica, whole)
	after.checkListedInOrder(after.first("", "MemberGone", killed, "connection refused"), holding)
	// If the lease expired first, the successor received half of the limit then, and no event reports the whole limit.
	if taken := after.find(successor, "ReplicaTaken", replica, "the whole limit"); len(taken) > 0 {
		after.checkListedInOrder(holding, taken[0])
	}
}

func (tl *timeline) checkNotBefore(since time.Time) {
	tl.t.Helper()
	for _, e := range tl.events {
		assert.Assert(tl.t, !e.Time.Before(since.Add(-time.Second)))
	}
}
