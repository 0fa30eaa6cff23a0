package planner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
)

// RebuildIntervalPerReplica is the minimum time, per replica, between two indexes that differ only in replica reports. With 5,300
// replicas, reports arrive almost continuously and building an index takes 4 to 6 ms, so the resulting interval of 318 ms limits
// the cost to 2% of a core.
const RebuildIntervalPerReplica = 60 * time.Microsecond

// IndexCache caches the index of the current sections of a board. Its methods are safe for concurrent use.
type IndexCache struct {
	board *blackboard.Board
	mu    sync.Mutex
	last  atomic.Pointer[cachedIndex]
}

type cachedIndex struct {
	index   *Index
	builtAt time.Time
}

// NewIndexCache returns an IndexCache that reads its sections from the board.
func NewIndexCache(board *blackboard.Board) *IndexCache {
	return &IndexCache{
		board: board,
	}
}

// Index returns the index of the current sections. Changes of replica reports alone may be missing for up to
// RebuildIntervalPerReplica times the number of replicas.
func (c *IndexCache) Index(now time.Time) *Index {
	s := Sections{
		Config:   c.board.Config.Read(),
		Members:  c.board.Members.Read(),
		Replicas: c.board.Replicas.Read(),
		Moves:    c.board.Moves.Read(),
	}
	last := c.last.Load()
	if last != nil && last.isCurrent(s, now) {
		return last.index
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if last = c.last.Load(); last != nil && last.isCurrent(s, now) {
		return last.index
	}
	x := NewIndex(s)
	c.last.Store(&cachedIndex{
		index:   x,
		builtAt: now,
	})
	return x
}

func (c *cachedIndex) isCurrent(s Sections, now time.Time) bool {
	old := c.index.sections
	if old.Config != s.Config && (old.Config.Generation != 0 || s.Config.Generation != 0 || len(old.Config.Set)+len(s.Config.Set) > 0) {
		return false
	}
	// A section that was never written is a new empty value on each read, so pointers alone do not show that it is unchanged.
	if old.Members != s.Members && len(old.Members.ByName)+len(s.Members.ByName) > 0 {
		return false
	}
	if old.Moves != s.Moves && len(old.Moves.ByApplication)+len(s.Moves.ByApplication) > 0 {
		return false
	}
	if old.Replicas == s.Replicas || len(old.Replicas.ByName)+len(s.Replicas.ByName) == 0 {
		return true
	}
	age := now.Sub(c.builtAt)
	return age >= 0 && age < RebuildIntervalPerReplica*time.Duration(len(old.Replicas.ByName))
}
