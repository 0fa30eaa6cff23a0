package administrator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/mover"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

var memberStates = map[blackboard.MemberState]string{
	blackboard.MemberAlive:   "Alive",
	blackboard.MemberSuspect: "Suspect",
	blackboard.MemberLeaving: "Leaving",
	blackboard.MemberGone:    "Gone",
}

var replicaStates = map[blackboard.ReplicaState]string{
	blackboard.ReplicaUnknown:  "Unknown",
	blackboard.ReplicaWarm:     "Warm",
	blackboard.ReplicaCold:     "Cold",
	blackboard.ReplicaDraining: "Draining",
	blackboard.ReplicaDown:     "Down",
}

func (a *Administrator) handleStatus(*fasthttp.RequestCtx) (any, error) {
	c := a.opts.Board.Config.Read()
	resp := StatusResponse{
		VM:         a.opts.VMName,
		Phase:      cmp.Or(a.opts.Board.Lifecycle.Read().Phase, blackboard.PhaseStarting),
		Generation: c.Generation,
		Members:    a.buildMembers(),
		Replicas:   a.buildReplicas(c),
		Moves:      []Move{},
	}
	for _, app := range slices.Sorted(maps.Keys(c.Moves)) {
		resp.Moves = append(resp.Moves, a.currentMove(c.Moves[app]))
	}
	return resp, nil
}

func (a *Administrator) buildMembers() []Member {
	byName := a.opts.Board.Members.Read().ByName
	list := make([]Member, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		m := byName[name]
		list = append(list, Member{
			Name:             m.Name,
			AvailabilityZone: m.AvailabilityZone,
			Address:          m.Address.String(),
			State:            memberStates[m.State],
			Generation:       m.Generation,
		})
	}
	return list
}

func (a *Administrator) buildReplicas(c *blackboard.Config) []Replica {
	replicas := a.opts.Board.Replicas.Read().ByName
	list := make([]Replica, 0, len(c.Servers))
	for _, name := range slices.Sorted(maps.Keys(c.Servers)) {
		s, r := c.Servers[name], replicas[name]
		list = append(list, Replica{
			Name:             name,
			Service:          s.Service,
			Version:          s.Version,
			AvailabilityZone: s.AvailabilityZone,
			State:            replicaStates[r.State],
			Owner:            r.Owner,
			Allowance:        r.Allowance,
			Load:             r.Load,
			Leaving:          r.Leaving,
		})
	}
	return list
}

// currentMove returns a configured move with its state from the blackboard. A move without a state there is reported as running.
func (a *Administrator) currentMove(m parser.Move) Move {
	move := Move{
		Name:        m.Name,
		Application: m.Application,
		From:        m.From,
		To:          m.To,
		Outcome:     blackboard.MoveRunning,
	}
	state, ok := a.opts.Board.Moves.Read().ByApplication[m.Application]
	if ok && state.Move.Name == m.Name {
		move.SharePerMille = state.SharePerMille
		move.Outcome = state.Outcome
		move.Reason = state.Reason
	}
	return move
}

// handleMove returns the state of one move. The recorded outcome is read from the platform, unless the move is configured and still
// running as seen by this VM. If reading fails, a configured move is returned with its state from the blackboard.
func (a *Administrator) handleMove(ctx *fasthttp.RequestCtx) (any, error) {
	name := pathParam(ctx, "name")
	move := Move{
		Name: name,
	}
	configured := false
	for _, m := range a.opts.Board.Config.Read().Moves {
		if m.Name == name {
			configured = true
			move = a.currentMove(m)
		}
	}
	if configured && move.Outcome == blackboard.MoveRunning {
		return move, nil
	}
	err := a.readRecordedOutcome(&move)
	switch {
	case err == nil, configured:
		return move, nil
	case errors.Is(err, storeclient.ErrNotFound):
		return nil, classifier.Errorf(classifier.NotFound, "there is no move %.64q", name)
	default:
		return nil, classifier.Errorf(classifier.NotAccepted, "reading the status of the move from the platform failed: %w", err)
	}
}

// readRecordedOutcome sets Outcome, Reason and Recorded of move from the status stored on the platform under the name of the move.
// The error is storeclient.ErrNotFound when there is none.
func (a *Administrator) readRecordedOutcome(move *Move) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o, err := a.opts.Store.Get(ctx, mover.KindStatus, move.Name)
	if err != nil {
		return err
	}
	var status mover.Status
	if err := json.Unmarshal(o.Value, &status); err != nil {
		return err
	}
	move.Outcome = status.Outcome
	move.Reason = status.Reason
	move.Recorded = true
	return nil
}
