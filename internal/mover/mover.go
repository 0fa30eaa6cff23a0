package mover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	decideInterval = time.Second
	// storeTimeout limits the duration of one operation on the platform.
	storeTimeout = 2 * time.Second
	// An answer is slow if its latency exceeds the default deadline divided by slowDeadlineDivisor.
	slowDeadlineDivisor = 2
	// leaseDuration is the time for which only the holder of the lease stores outcomes. The lease only reduces the number of
	// calls: if two VMs believe that they hold it, the conditional create ensures that only one outcome is stored.
	leaseDuration = 10 * time.Second

	kindLease = "Lease"
	leaseName = "mover"
	partName  = "mover"
)

// KindStatus is the kind of the platform objects that contain the outcome of a move. The name of the object is that of the move,
// and its value a Status in JSON. The name of a move is used only once.
const KindStatus = "MoveStatus"

// Status is the value of an object of the kind MoveStatus.
type Status struct {
	Move    string
	Outcome blackboard.MoveOutcome
	Reason  string
	VM      string
	At      time.Time
	// Stamp is the timestamp of the VM that stored the outcome. Readers advance their clocks to it, so that their events come
	// after those of that VM in the timeline.
	Stamp recorder.Stamp
}

// Options contains the dependencies of a Mover. All fields are required.
type Options struct {
	VM        string
	Board     *blackboard.Board
	Store     storeclient.Store
	Publisher messenger.RecordPublisher
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Log       zerolog.Logger
}

// Mover decides the share of the new version in each move, stores the outcomes on the platform, and writes the section Moves of
// the blackboard. Observe, ReceiveVersionStats and ReceiveOutcome may be called concurrently with Run.
type Mover struct {
	Options
	evidence *evidenceStore

	// decideMu serializes decisions, so that an older decision does not overwrite a newer outcome in the section Moves.
	decideMu sync.Mutex

	mu sync.Mutex
	// outcomes is keyed by the name of the move. An outcome is only replaced by one that takes precedence, see adoptOutcome.
	outcomes map[string]messenger.MoveOutcomeRecord
	// loadedOutcomes contains the names of the moves for which the platform has been queried for a stored outcome. Only Run uses
	// it.
	loadedOutcomes map[string]bool
}

// New returns a Mover. Call Run to start it.
func New(o Options) *Mover {
	return &Mover{
		Options:        o,
		evidence:       newEvidenceStore(),
		outcomes:       map[string]messenger.MoveOutcomeRecord{},
		loadedOutcomes: map[string]bool{},
	}
}

// Observe records the result of one sub-request. Results of applications without a move are ignored.
func (m *Mover) Observe(application, version, route string, code classifier.Code, latency time.Duration) {
	cfg := m.Board.Config.Read()
	if _, ok := cfg.Moves[application]; !ok {
		return
	}
	m.evidence.observe(series{
		application: application,
		version:     version,
		route:       route,
	}, code, latency, cfg.Applications[application].DeadlineDefault/slowDeadlineDivisor)
}

// ReceiveVersionStats handles a record of the kind RecordVersionStats from another VM.
func (m *Mover) ReceiveVersionStats(r messenger.Record) {
	var stats messenger.VersionStatsRecord
	if err := messenger.DecodePayload(r.Payload, &stats); err != nil {
		m.Log.Warn().Err(err).Str("Origin", r.Origin).Msg("A record of version statistics from another VM cannot be decoded.")
		return
	}
	m.evidence.receive(source{
		series: series{
			application: stats.Application,
			version:     stats.Version,
			route:       stats.Route,
		},
		vm: r.Origin,
	}, CountsFromRecord(stats))
}

// ReceiveOutcome handles a record of the kind RecordMoveOutcome from another VM.
func (m *Mover) ReceiveOutcome(r messenger.Record) {
	var outcome messenger.MoveOutcomeRecord
	if err := messenger.DecodePayload(r.Payload, &outcome); err != nil {
		m.Log.Warn().Err(err).Str("Origin", r.Origin).Msg("A move outcome record from another VM cannot be decoded.")
		return
	}
	if m.adoptOutcome(r.Key, outcome) {
		m.decideAndPublish()
	}
}

// adoptOutcome sets the outcome of a move unless the current one takes precedence, and reports whether it was set. An outcome
// that is stored on the platform takes precedence over all others, and a rollback by any VM over Done.
func (m *Mover) adoptOutcome(move string, outcome messenger.MoveOutcomeRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, exists := m.outcomes[move]
	overridden := current.Outcome == blackboard.MoveDone && outcome.Outcome == blackboard.MoveRolledBack
	if exists && (current.Final || !outcome.Final && !overridden) {
		return false
	}
	m.outcomes[move] = outcome
	return true
}

func (m *Mover) outcome(move string) (messenger.MoveOutcomeRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome, ok := m.outcomes[move]
	return outcome, ok
}

// Run makes decisions once per second and after each change of the configuration, until ctx is cancelled.
func (m *Mover) Run(ctx context.Context) {
	tick := m.Timer.Subscribe(decideInterval)
	defer tick.Stop()
	for {
		changed := m.Board.Config.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
		m.loadStoredOutcomes(ctx)
		m.publishEvidence()
		m.evidence.recordSample(m.Timer.Now())
		m.decideAndPublish()
		m.storeOutcomes(ctx)
	}
}

// loadStoredOutcomes reads the stored outcome of each move that is new to this VM, because a VM that starts after the end of a
// move must not execute it again. While the platform is unavailable, the VM decides by the records and evidence of other VMs and
// retries on each tick.
func (m *Mover) loadStoredOutcomes(ctx context.Context) {
	loaded := map[string]bool{}
	for _, plan := range m.Board.Config.Read().Moves {
		loaded[plan.Name] = m.loadedOutcomes[plan.Name] || m.loadStoredOutcome(ctx, plan.Name)
	}
	m.loadedOutcomes = loaded
}

func (m *Mover) loadStoredOutcome(ctx context.Context, move string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := m.adoptStoredOutcome(ctx, move)
	return err == nil || errors.Is(err, storeclient.ErrNotFound)
}

func (m *Mover) publishEvidence() {
	cfg := m.Board.Config.Read()
	m.evidence.prune(func(application string) bool {
		_, ok := cfg.Moves[application]
		return ok
	})
	for application := range cfg.Moves {
		for s, c := range m.evidence.snapshotLocal(application) {
			m.publishSeries(s, c)
		}
	}
}

func (m *Mover) publishSeries(s series, c Counts) {
	localSource := source{
		series: s,
		vm:     m.VM,
	}
	if m.evidence.current(localSource) == c {
		return
	}
	m.evidence.receive(localSource, c)
	key := strings.Join([]string{s.application, s.version, s.route, m.VM}, "/")
	err := m.Publisher.Publish(messenger.RecordVersionStats, key, c.Record(s.application, s.version, s.route))
	if err != nil {
		m.Log.Warn().Err(err).Msg("A record of version statistics cannot be published.")
	}
}

// decideAndPublish rewrites the section Moves and publishes new rollbacks to the other VMs. It is also called when an outcome is
// received, so that the share of a bad version is reduced without waiting for the next tick.
func (m *Mover) decideAndPublish() {
	for move, outcome := range m.decideAndWrite() {
		if err := m.Publisher.Publish(messenger.RecordMoveOutcome, move, outcome); err != nil {
			m.Log.Warn().Err(err).Msg("The outcome of a move cannot be published to the other VMs.")
		}
	}
}

// decideAndWrite writes the section Moves and returns the rollbacks that this VM has decided itself. Their events are recorded
// before they are published to other VMs.
func (m *Mover) decideAndWrite() map[string]messenger.MoveOutcomeRecord {
	m.decideMu.Lock()
	defer m.decideMu.Unlock()
	cfg := m.Board.Config.Read()
	newRollbacks := map[string]messenger.MoveOutcomeRecord{}
	moves := &blackboard.Moves{
		ByApplication: make(map[string]blackboard.MoveState, len(cfg.Moves)),
	}
	for application, plan := range cfg.Moves {
		moves.ByApplication[application] = m.decide(cfg, application, plan, newRollbacks)
	}
	before := m.Board.Moves.Read()
	for application, state := range moves.ByApplication {
		m.recordChange(before.ByApplication[application], state)
	}
	m.Board.Moves.Write(moves)
	return newRollbacks
}

// decide returns the state of a move. If this VM decides to roll the move back and no outcome received from another VM or the
// platform takes precedence, decide adds the outcome to newRollbacks.
func (m *Mover) decide(cfg *blackboard.Config, application string, plan parser.Move, newRollbacks map[string]messenger.MoveOutcomeRecord) blackboard.MoveState {
	d := m.currentDecision(plan.Name)
	if d.Outcome == blackboard.MoveRunning {
		evidence := m.evidence.compare(application, plan.From, plan.To)
		markOperations(evidence, cfg.Applications[application].Routes)
		d = Decide(plan, cfg.Policies[cfg.Applications[application].Policy], evidence, m.Timer.Now())
	}
	if d.Outcome != blackboard.MoveRunning {
		outcome := messenger.MoveOutcomeRecord{
			Outcome: d.Outcome,
			Reason:  d.Reason,
		}
		switch {
		case !m.adoptOutcome(plan.Name, outcome):
			d = m.currentDecision(plan.Name)
		case d.Outcome == blackboard.MoveRolledBack:
			newRollbacks[plan.Name] = outcome
		}
	}
	return blackboard.MoveState{
		Move:          plan,
		SharePerMille: d.SharePerMille,
		Outcome:       d.Outcome,
		Reason:        d.Reason,
	}
}

func markOperations(evidence []RouteEvidence, routes []parser.Route) {
	for i := range evidence {
		evidence[i].Operation = slices.ContainsFunc(routes, func(r parser.Route) bool {
			return r.Name == evidence[i].Route && r.Kind == parser.RouteOperation
		})
	}
}

// currentDecision returns the decision that follows from the known outcome of a move, or a running one if there is no outcome.
func (m *Mover) currentDecision(move string) Decision {
	outcome, ok := m.outcome(move)
	if !ok {
		return running(0)
	}
	d := Decision{
		Outcome: outcome.Outcome,
		Reason:  outcome.Reason,
	}
	if outcome.Outcome == blackboard.MoveDone {
		d.SharePerMille = finalPercent * perMillePerPercent
	}
	return d
}

func (m *Mover) recordChange(before, after blackboard.MoveState) {
	if before.SharePerMille == after.SharePerMille && before.Outcome == after.Outcome && before.Move.Name == after.Move.Name {
		return
	}
	detail := fmt.Sprintf("%s, share %d per mille. %s", after.Outcome, after.SharePerMille, after.Reason)
	m.Recorder.Record(partName, "MoveStep", after.Move.Name, detail)
	m.Log.Info().Str("Move", after.Move.Name).Int("SharePerMille", after.SharePerMille).Str("Outcome", string(after.Outcome)).
		Str("Reason", after.Reason).Msg("The share or outcome of a move changed.")
}

// storeOutcomes stores the outcomes that are not yet on the platform.
func (m *Mover) storeOutcomes(ctx context.Context) {
	for _, state := range m.Board.Moves.Read().ByApplication {
		outcome, ok := m.outcome(state.Move.Name)
		if !ok || outcome.Final {
			continue
		}
		if err := m.storeOutcome(ctx, state.Move.Name, outcome); err != nil {
			m.Log.Warn().Err(err).Str("Move", state.Move.Name).Msg("The outcome of a move could not be stored on the platform and will be stored later.")
		}
	}
}

// storeOutcome stores the outcome of a move if this VM holds the lease. The conditional create succeeds for only one VM; the
// others adopt the outcome that it stored.
func (m *Mover) storeOutcome(ctx context.Context, move string, outcome messenger.MoveOutcomeRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held, err := m.acquireLease(ctx)
	if err != nil || !held {
		return err
	}
	value, err := json.Marshal(Status{
		Move:    move,
		Outcome: outcome.Outcome,
		Reason:  outcome.Reason,
		VM:      m.VM,
		At:      m.Timer.Now(),
		Stamp:   m.Recorder.NextStamp(),
	})
	if err != nil {
		return fmt.Errorf("encoding a move status: %w", err)
	}
	_, err = m.Store.Create(ctx, storeclient.Object{
		Kind:  KindStatus,
		Name:  move,
		Value: value,
	})
	if err != nil && !errors.Is(err, storeclient.ErrExists) {
		return fmt.Errorf("storing a move status: %w", err)
	}
	return m.adoptStoredOutcome(ctx, move)
}

// adoptStoredOutcome reads the stored outcome from the platform and adopts it. Reading it after a create resolves both a lost
// response and a race with another VM.
func (m *Mover) adoptStoredOutcome(ctx context.Context, move string) error {
	o, err := m.Store.Get(ctx, KindStatus, move)
	if err != nil {
		return fmt.Errorf("reading a move status: %w", err)
	}
	var s Status
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return fmt.Errorf("decoding a move status: %w", err)
	}
	m.Recorder.Observe(s.Stamp)
	final := messenger.MoveOutcomeRecord{
		Outcome: s.Outcome,
		Reason:  s.Reason,
		Final:   true,
	}
	if !m.adoptOutcome(move, final) {
		return nil
	}
	m.Recorder.Record(partName, "MoveAnnounced", move, string(s.Outcome)+". "+s.Reason)
	m.Log.Info().Str("Move", move).Str("Outcome", string(s.Outcome)).Msg("The outcome of a move is stored on the platform.")
	m.decideAndPublish()
	if err := m.Publisher.Publish(messenger.RecordMoveOutcome, move, final); err != nil {
		return fmt.Errorf("publishing a move outcome: %w", err)
	}
	return nil
}

// leaseValue is the value of the lease object, encoded in JSON.
type leaseValue struct {
	Holder string
	Until  time.Time
}

// acquireLease acquires or renews the lease by a write that is conditional on the version read. It returns false if another VM
// holds the lease.
func (m *Mover) acquireLease(ctx context.Context) (bool, error) {
	now := m.Timer.Now()
	o, err := m.Store.Get(ctx, kindLease, leaseName)
	if err != nil && !errors.Is(err, storeclient.ErrNotFound) {
		return false, fmt.Errorf("reading the lease: %w", err)
	}
	var current leaseValue
	if err == nil {
		if err := json.Unmarshal(o.Value, &current); err != nil {
			return false, fmt.Errorf("decoding the lease: %w", err)
		}
	}
	if current.Holder != m.VM && now.Before(current.Until) {
		return false, nil
	}
	value, err := json.Marshal(leaseValue{
		Holder: m.VM,
		Until:  now.Add(leaseDuration),
	})
	if err != nil {
		return false, fmt.Errorf("encoding the lease: %w", err)
	}
	return m.writeLease(ctx, storeclient.Object{
		Kind:    kindLease,
		Name:    leaseName,
		Version: o.Version,
		Value:   value,
	})
}

func (m *Mover) writeLease(ctx context.Context, o storeclient.Object) (bool, error) {
	write := m.Store.Update
	if o.Version == 0 {
		write = m.Store.Create
	}
	_, err := write(ctx, o)
	switch {
	case errors.Is(err, storeclient.ErrConflict), errors.Is(err, storeclient.ErrExists):
		return false, nil
	case err != nil:
		return false, fmt.Errorf("writing the lease: %w", err)
	}
	return true, nil
}
