package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// MinReportInterval is the minimum time between two reports about one replica.
	MinReportInterval = 200 * time.Millisecond
	// ConflictingReportInterval is the time after which a report is repeated while the report of another VM, for example a late
	// one of the previous owner, has replaced it.
	ConflictingReportInterval = time.Second
	// allowanceLevels is the number of levels to which allowances are rounded for the comparison with the last report, so that a
	// ramp over many slots does not cause a report for each step.
	allowanceLevels = 4
)

// reportState contains the last report that this VM has published about a replica.
type reportState struct {
	sent bool
	at   time.Time
	last messenger.ReplicaRecord
}

// publishReport publishes a report if it differs from the last one. An unchanged report is not repeated, because receivers derive
// the age of a report from the last update of its owner. A new owner publishes no report about a usable server before the first
// status: the report would claim that the server holds no snapshot, and planners would stop using the server.
func (r *replica) publishReport(now time.Time) {
	if r.notOwned {
		r.report.sent = false
		return
	}
	record, slots := r.buildRecord(now)
	if !r.reportable(record) {
		return
	}
	age := now.Sub(r.report.at)
	switch {
	case !r.report.sent:
	case age >= ConflictingReportInterval && r.reportConflicts(now):
	case age >= MinReportInterval && reportDiffers(record, r.report.last, slots):
	default:
		return
	}
	if err := r.executor.publisher.Publish(messenger.RecordReplica, r.name, record); err != nil {
		r.executor.log.Error().Err(err).Str("Replica", r.name).Msg("A replica report could not be published.")
		return
	}
	if record.State != r.report.last.State {
		r.executor.recorder.Record(partName, "ReplicaState", r.name, stateNames[record.State])
	}
	r.report = reportState{
		sent: true,
		at:   now,
		last: record,
	}
}

// reportConflicts reports whether the current report in gossip is that of another VM although this VM alone owns the replica.
func (r *replica) reportConflicts(now time.Time) bool {
	alone := r.executor.board.Leases.Read().ByReplica[r.name].ShareAt(now) == blackboard.ShareAll
	return alone && r.reporter() != r.executor.vmName
}

// reporter returns the VM whose report is current in gossip, or an empty string.
func (r *replica) reporter() string {
	return r.executor.board.Replicas.Read().ByName[r.name].Owner
}

var stateNames = map[blackboard.ReplicaState]string{
	blackboard.ReplicaUnknown:  "Unknown",
	blackboard.ReplicaWarm:     "Warm",
	blackboard.ReplicaCold:     "Cold",
	blackboard.ReplicaDraining: "Draining",
	blackboard.ReplicaDown:     "Down",
}

func (r *replica) buildRecord(now time.Time) (record messenger.ReplicaRecord, slots int) {
	lim, _ := r.currentLimits(now)
	state, n := r.ramp.Allowed(now, lim.maxRunning())
	if state != blackboard.ReplicaDown {
		n = max(1, n)
		if r.leaving() {
			state = blackboard.ReplicaDraining
		}
	}
	running, queued := r.semaphore.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	return messenger.ReplicaRecord{
		State:       state,
		Allowance:   n,
		Load:        running + queued,
		Held:        r.held,
		Incarnation: r.incarnation,
	}, lim.totalSlots
}

func (r *replica) reportable(record messenger.ReplicaRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldKnown || record.State == blackboard.ReplicaDown || record.State == blackboard.ReplicaDraining
}

func reportDiffers(a, b messenger.ReplicaRecord, slots int) bool {
	return a.State != b.State || a.Incarnation != b.Incarnation ||
		allowanceLevel(a.Allowance, slots) != allowanceLevel(b.Allowance, slots) || !slices.Equal(a.Held, b.Held)
}

func allowanceLevel(allowance, slots int) int {
	return allowance * allowanceLevels / max(1, slots)
}

// publishRelease publishes that this VM no longer owns the replica. If another owner has already reported, it publishes nothing,
// because the release would replace that report.
func (r *replica) publishRelease() {
	if other := r.reporter(); other != "" && other != r.executor.vmName {
		return
	}
	err := r.executor.publisher.Publish(messenger.RecordReplica, r.name, messenger.ReplicaRecord{
		Released: true,
	})
	if err != nil {
		r.executor.log.Error().Err(err).Str("Replica", r.name).Msg("The release of a replica could not be published.")
	}
}

// setHeld stores the snapshots that the server reported, sorted so that reports can be compared.
func (r *replica) setHeld(held []connector.HeldSnapshot) {
	sorted := slices.Clone(held)
	slices.SortFunc(sorted, func(a, b connector.HeldSnapshot) int {
		return cmp.Or(cmp.Compare(a.Snapshot, b.Snapshot), cmp.Compare(a.Of, b.Of), cmp.Compare(a.Shard, b.Shard))
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = sorted
	r.heldKnown = true
}

// removeHeldSnapshot removes the snapshot that the server refused, so that the next report does not contain it.
func (r *replica) removeHeldSnapshot(c call) {
	search, ok := c.(*searchCall)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []connector.HeldSnapshot
	for _, h := range r.held {
		if h.Snapshot != search.req.Snapshot {
			kept = append(kept, h)
		}
	}
	r.held = kept
}
