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
	// MinReportInterval is the shortest time between two reports about one replica.
	MinReportInterval = 200 * time.Millisecond
	// ConflictingReportInterval is the time after which a report is repeated while the report of another VM stands in its place, for example
	// the late one of the previous holder.
	ConflictingReportInterval = time.Second
	// allowanceLevels is the number of levels by which a report's allowance is compared with the last one, so that a ramp over
	// many slots does not cause a report for each step.
	allowanceLevels = 4
)

// reportState is the last report about a replica.
type reportState struct {
	sent bool
	at   time.Time
	last messenger.ReplicaRecord
}

// publish sends a report when it differs from the last one. An unchanged report is not repeated: receivers age reports by the
// news of their owner. A new owner sends none about a usable server before the first status: it would say that the server holds
// no snapshot and take it out of all plans.
func (r *replica) publish(now time.Time) {
	if r.away {
		r.report.sent = false
		return
	}
	record, slots := r.record(now)
	if !r.reportable(record) {
		return
	}
	age := now.Sub(r.report.at)
	switch {
	case !r.report.sent:
	case age >= ConflictingReportInterval && r.contested(now):
	case age >= MinReportInterval && differs(record, r.report.last, slots):
	default:
		return
	}
	if err := r.o.publisher.Publish(messenger.RecordReplica, r.name, record); err != nil {
		r.o.log.Error().Err(err).Str("Replica", r.name).Msg("A replica report could not be published.")
		return
	}
	if record.State != r.report.last.State {
		r.o.recorder.Record(partName, "ReplicaState", r.name, stateNames[record.State])
	}
	r.report = reportState{
		sent: true,
		at:   now,
		last: record,
	}
}

// contested reports whether the spread report is that of another VM although this VM alone holds the replica.
func (r *replica) contested(now time.Time) bool {
	alone := r.o.board.Leases.Read().ByReplica[r.name].ShareAt(now) == blackboard.ShareAll
	return alone && r.reporter() != r.o.self
}

// reporter is the VM whose report has been spread, or empty.
func (r *replica) reporter() string {
	return r.o.board.Replicas.Read().ByName[r.name].Owner
}

var stateNames = map[blackboard.ReplicaState]string{
	blackboard.ReplicaUnknown:  "Unknown",
	blackboard.ReplicaWarm:     "Warm",
	blackboard.ReplicaCold:     "Cold",
	blackboard.ReplicaDraining: "Draining",
	blackboard.ReplicaDown:     "Down",
}

func (r *replica) record(now time.Time) (record messenger.ReplicaRecord, slots int) {
	all, _ := r.rights(now)
	state, n := r.ramp.Allowed(now, all.runLimit())
	if state != blackboard.ReplicaDown {
		n = max(1, n)
		if r.leaving() {
			state = blackboard.ReplicaDraining
		}
	}
	running, queued := r.gate.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	return messenger.ReplicaRecord{
		State:       state,
		Allowance:   n,
		Load:        running + queued,
		Held:        r.held,
		Incarnation: r.incarnation,
	}, all.whole
}

func (r *replica) reportable(record messenger.ReplicaRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.polled || record.State == blackboard.ReplicaDown || record.State == blackboard.ReplicaDraining
}

func differs(a, b messenger.ReplicaRecord, slots int) bool {
	return a.State != b.State || a.Incarnation != b.Incarnation ||
		level(a.Allowance, slots) != level(b.Allowance, slots) || !slices.Equal(a.Held, b.Held)
}

func level(allowance, slots int) int {
	return allowance * allowanceLevels / max(1, slots)
}

// publishReleased says that this VM does not hold the replica any more, unless another holder has reported already, whose
// report the release would replace.
func (r *replica) publishReleased() {
	if other := r.reporter(); other != "" && other != r.o.self {
		return
	}
	err := r.o.publisher.Publish(messenger.RecordReplica, r.name, messenger.ReplicaRecord{
		Released: true,
	})
	if err != nil {
		r.o.log.Error().Err(err).Str("Replica", r.name).Msg("The release of a replica could not be published.")
	}
}

// hold replaces the held snapshots.
func (r *replica) hold(held []connector.HeldSnapshot) {
	sorted := slices.Clone(held)
	slices.SortFunc(sorted, func(a, b connector.HeldSnapshot) int {
		return cmp.Or(cmp.Compare(a.Snapshot, b.Snapshot), cmp.Compare(a.Of, b.Of), cmp.Compare(a.Shard, b.Shard))
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = sorted
	r.polled = true
}

// dropSnapshot forgets the snapshot that the server refused.
func (r *replica) dropSnapshot(w work) {
	s, ok := w.(*searchWork)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []connector.HeldSnapshot
	for _, h := range r.held {
		if h.Snapshot != s.req.Snapshot {
			kept = append(kept, h)
		}
	}
	r.held = kept
}
