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
	// period is the time between two decisions.
	period = time.Second
	// storeTimeout bounds one call of the platform.
	storeTimeout = 2 * time.Second
	// slowShare is the part of the default deadline above which an answer counts as slow.
	slowShare = 2
	// leaseLength is how long the holder of the lease alone stores outcomes. The conditional create decides even when two
	// VMs believe that they hold it; the lease only saves calls.
	leaseLength = 10 * time.Second

	kindLease = "Lease"
	leaseName = "mover"
	part      = "mover"
)

// KindStatus is the platform's kind of object for the outcome of a move. Its name is that of the move and its value a Status
// in JSON. A name is used once.
const KindStatus = "MoveStatus"

// Status is the value of a MoveStatus object.
type Status struct {
	Move    string
	Outcome blackboard.MoveOutcome
	Reason  string
	VM      string
	At      time.Time
	// Stamp is the clock of the VM that stored the outcome. Readers observe it.
	Stamp recorder.Stamp
}

// Options are what a Mover works with. Every field is needed.
type Options struct {
	VM        string
	Board     *blackboard.Board
	Store     storeclient.Store
	Publisher messenger.RecordPublisher
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Log       zerolog.Logger
}

// Mover writes the section Moves.
type Mover struct {
	Options
	evidence *evidence

	// deciding orders the decisions, so that an older one does not replace a verdict in the section.
	deciding sync.Mutex

	mu sync.Mutex
	// verdicts are sticky, see adopt. They are keyed by the name of the move.
	verdicts map[string]messenger.MoveOutcomeRecord
	// checked holds the names of moves whose stored outcome has been looked up. It is used by Run alone.
	checked map[string]bool
}

// New returns a Mover.
func New(o Options) *Mover {
	return &Mover{
		Options:  o,
		evidence: newEvidence(),
		verdicts: map[string]messenger.MoveOutcomeRecord{},
		checked:  map[string]bool{},
	}
}

// Observe counts the outcome of one sub-request. Outcomes of applications without a move are ignored.
func (m *Mover) Observe(application, version, route string, code classifier.Code, latency time.Duration) {
	cfg := m.Board.Config.Read()
	if _, ok := cfg.Moves[application]; !ok {
		return
	}
	m.evidence.observe(series{
		application: application,
		version:     version,
		route:       route,
	}, code, latency, cfg.Applications[application].DeadlineDefault/slowShare)
}

// ReceiveEvidence takes a RecordEvidence of another VM.
func (m *Mover) ReceiveEvidence(r messenger.Record) {
	var e messenger.VersionStatsRecord
	if err := messenger.DecodePayload(r.Payload, &e); err != nil {
		m.Log.Warn().Err(err).Str("Origin", r.Origin).Msg("An evidence record cannot be decoded.")
		return
	}
	m.evidence.receive(source{
		series: series{
			application: e.Application,
			version:     e.Version,
			route:       e.Route,
		},
		vm: r.Origin,
	}, CountsFromRecord(e))
}

// ReceiveVerdict takes a RecordVerdict of another VM.
func (m *Mover) ReceiveVerdict(r messenger.Record) {
	var v messenger.MoveOutcomeRecord
	if err := messenger.DecodePayload(r.Payload, &v); err != nil {
		m.Log.Warn().Err(err).Str("Origin", r.Origin).Msg("A verdict record cannot be decoded.")
		return
	}
	if m.adopt(r.Key, v) {
		m.decideAll()
	}
}

// adopt stores a verdict unless a stronger one is known, and reports whether it changed anything. A stored outcome is stronger
// than a take-back, and a take-back by any VM is stronger than Done.
func (m *Mover) adopt(move string, v messenger.MoveOutcomeRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.verdicts[move]
	overruled := known.Outcome == blackboard.MoveDone && v.Outcome == blackboard.MoveRolledBack
	if ok && (known.Final || !v.Final && !overruled) {
		return false
	}
	m.verdicts[move] = v
	return true
}

func (m *Mover) verdict(move string) (messenger.MoveOutcomeRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.verdicts[move]
	return v, ok
}

// Run decides every second until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	tick := m.Timer.Subscribe(period)
	defer tick.Stop()
	for {
		changed := m.Board.Config.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
		m.lookUpAll(ctx)
		m.publishEvidence()
		m.evidence.sample(m.Timer.Now())
		m.decideAll()
		m.announceAll(ctx)
	}
}

// lookUpAll reads the stored outcome of each move that this VM has not seen before: a VM that starts after the end of a move
// must not run it again. While the platform is away the VM goes by records and evidence, and looks again later.
func (m *Mover) lookUpAll(ctx context.Context) {
	current := map[string]bool{}
	for _, plan := range m.Board.Config.Read().Moves {
		current[plan.Name] = m.checked[plan.Name] || m.lookUp(ctx, plan.Name)
	}
	m.checked = current
}

func (m *Mover) lookUp(ctx context.Context, move string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := m.adoptStored(ctx, move)
	return err == nil || errors.Is(err, storeclient.ErrNotFound)
}

func (m *Mover) publishEvidence() {
	cfg := m.Board.Config.Read()
	m.evidence.forget(func(application string) bool {
		_, ok := cfg.Moves[application]
		return ok
	})
	for application := range cfg.Moves {
		for s, c := range m.evidence.snapshotOwn(application) {
			m.publishSeries(s, c)
		}
	}
}

func (m *Mover) publishSeries(s series, c Counts) {
	own := source{
		series: s,
		vm:     m.VM,
	}
	if m.evidence.current(own) == c {
		return
	}
	m.evidence.receive(own, c)
	key := strings.Join([]string{s.application, s.version, s.route, m.VM}, "/")
	err := m.Publisher.Publish(messenger.RecordVersionStats, key, c.Record(s.application, s.version, s.route))
	if err != nil {
		m.Log.Warn().Err(err).Msg("An evidence record cannot be published.")
	}
}

// decideAll rewrites the section Moves. It is also called when a verdict arrives, so that the share of a bad version falls
// without waiting for the next tick.
func (m *Mover) decideAll() {
	for move, v := range m.decideAndWrite() {
		if err := m.Publisher.Publish(messenger.RecordMoveOutcome, move, v); err != nil {
			m.Log.Warn().Err(err).Msg("A verdict cannot be published.")
		}
	}
}

// decideAndWrite returns the take-backs that this VM found. Their events are recorded before other VMs can hear of them.
func (m *Mover) decideAndWrite() map[string]messenger.MoveOutcomeRecord {
	m.deciding.Lock()
	defer m.deciding.Unlock()
	cfg := m.Board.Config.Read()
	found := map[string]messenger.MoveOutcomeRecord{}
	moves := &blackboard.Moves{
		ByApplication: make(map[string]blackboard.MoveState, len(cfg.Moves)),
	}
	for application, plan := range cfg.Moves {
		moves.ByApplication[application] = m.decide(cfg, application, plan, found)
	}
	before := m.Board.Moves.Read()
	for application, state := range moves.ByApplication {
		m.recordChange(before.ByApplication[application], state)
	}
	m.Board.Moves.Write(moves)
	return found
}

// decide returns the state of a move and adds a take-back that nobody has told this VM to found.
func (m *Mover) decide(cfg *blackboard.Config, application string, plan parser.Move, found map[string]messenger.MoveOutcomeRecord) blackboard.MoveState {
	d := m.standing(plan.Name)
	if d.Outcome == blackboard.MoveRunning {
		evidence := m.evidence.compare(application, plan.From, plan.To)
		markOperations(evidence, cfg.Applications[application].Routes)
		d = Decide(plan, cfg.Policies[cfg.Applications[application].Policy], evidence, m.Timer.Now())
	}
	if d.Outcome != blackboard.MoveRunning {
		v := messenger.MoveOutcomeRecord{
			Outcome: d.Outcome,
			Reason:  d.Reason,
		}
		switch {
		case !m.adopt(plan.Name, v):
			d = m.standing(plan.Name)
		case d.Outcome == blackboard.MoveRolledBack:
			found[plan.Name] = v
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

// standing returns the decision that an earlier verdict fixes, or a running one.
func (m *Mover) standing(move string) Decision {
	v, ok := m.verdict(move)
	if !ok {
		return running(0)
	}
	d := Decision{
		Outcome: v.Outcome,
		Reason:  v.Reason,
	}
	if v.Outcome == blackboard.MoveDone {
		d.SharePerMille = finalShare * perMillePerCent
	}
	return d
}

func (m *Mover) recordChange(before, after blackboard.MoveState) {
	if before.SharePerMille == after.SharePerMille && before.Outcome == after.Outcome && before.Move.Name == after.Move.Name {
		return
	}
	detail := fmt.Sprintf("%s, share %d per mille. %s", after.Outcome, after.SharePerMille, after.Reason)
	m.Recorder.Record(part, "MoveStep", after.Move.Name, detail)
	m.Log.Info().Str("Move", after.Move.Name).Int("SharePerMille", after.SharePerMille).Str("Outcome", string(after.Outcome)).
		Str("Reason", after.Reason).Msg("The share of a move changed.")
}

// announceAll stores the outcomes that the platform does not have yet.
func (m *Mover) announceAll(ctx context.Context) {
	for _, state := range m.Board.Moves.Read().ByApplication {
		v, ok := m.verdict(state.Move.Name)
		if !ok || v.Final {
			continue
		}
		if err := m.announce(ctx, state.Move.Name, v); err != nil {
			m.Log.Warn().Err(err).Str("Move", state.Move.Name).Msg("The outcome of a move is not stored yet.")
		}
	}
}

// announce stores the outcome of a move. Only one VM's conditional create succeeds; the others adopt what it stored.
func (m *Mover) announce(ctx context.Context, move string, v messenger.MoveOutcomeRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held, err := m.holdLease(ctx)
	if err != nil || !held {
		return err
	}
	value, err := json.Marshal(Status{
		Move:    move,
		Outcome: v.Outcome,
		Reason:  v.Reason,
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
	return m.adoptStored(ctx, move)
}

// adoptStored reads the stored outcome back, which settles a lost answer and a race with another VM alike.
func (m *Mover) adoptStored(ctx context.Context, move string) error {
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
	if !m.adopt(move, final) {
		return nil
	}
	m.Recorder.Record(part, "MoveAnnounced", move, string(s.Outcome)+". "+s.Reason)
	m.Log.Info().Str("Move", move).Str("Outcome", string(s.Outcome)).Msg("The outcome of a move is stored.")
	m.decideAll()
	if err := m.Publisher.Publish(messenger.RecordMoveOutcome, move, final); err != nil {
		return fmt.Errorf("publishing a verdict: %w", err)
	}
	return nil
}

// leaseValue is the value of the lease object.
type leaseValue struct {
	Holder string
	Until  time.Time
}

// holdLease takes or renews the lease by an update that is conditional on the version read.
func (m *Mover) holdLease(ctx context.Context) (bool, error) {
	now := m.Timer.Now()
	o, err := m.Store.Get(ctx, kindLease, leaseName)
	if err != nil && !errors.Is(err, storeclient.ErrNotFound) {
		return false, fmt.Errorf("reading the lease: %w", err)
	}
	var held leaseValue
	if err == nil {
		if err := json.Unmarshal(o.Value, &held); err != nil {
			return false, fmt.Errorf("decoding the lease: %w", err)
		}
	}
	if held.Holder != m.VM && now.Before(held.Until) {
		return false, nil
	}
	value, err := json.Marshal(leaseValue{
		Holder: m.VM,
		Until:  now.Add(leaseLength),
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
