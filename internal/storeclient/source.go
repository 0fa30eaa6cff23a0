package storeclient

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the platform no longer has the changes since a revision, so the objects have to be listed again.
var ErrHistoryGone = errors.New("the platform no longer has the changes since the revision")

// Item is one object of a kind in the platform's store.
type Item struct {
	Name string
	// Deleted is true if the object was deleted. Such an item has a name only.
	Deleted bool
	Value   []byte
	// State is the status that this system has written to an object of the platform's own kinds, nil if there is none.
	State []byte
	// Created and Revision are the store's revisions of the object's creation and last change.
	Created  uint64
	Revision uint64
	// Retained is set by this system on an object of an earlier era that stays in use although the platform has lost it, or has it in an
	// earlier state.
	Retained bool
}

// Position is a point in the history of the platform's store. The revisions of two eras are not comparable: a store that comes back
// from an older copy of itself begins a new era, in which it gives out the revisions after the copy again.
type Position struct {
	// Era is 0 as long as the store has not stated any.
	Era      uint64
	Revision uint64
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// Batch contains all objects of a kind, or their changes since an earlier revision of the same era. It is complete up to Revision.
type Batch struct {
	Items    []Item
	Era      uint64
	Revision uint64
}

// Position returns the point in the history up to which the batch is complete.
func (b Batch) Position() Position {
	return Position{
		Era:      b.Era,
		Revision: b.Revision,
	}
}

// Source lists and watches the objects of a kind. The context of each call needs a deadline.
type Source interface {
	// Era returns the highest era that the platform has stated in any answer to this VM, 0 until it has stated one.
	Era() uint64
	// Ping returns nil if the platform answers. It costs the platform less than the other calls.
	Ping(ctx context.Context) error
	// ListKind returns all objects of the kind. With allowStale the list may be seconds old, and the call costs the platform as little
	// as a ping.
	ListKind(ctx context.Context, kind string, allowStale bool) (Batch, error)
	// WatchKind returns the changes after the revision, and waits up to wait until there are any. It returns ErrHistoryGone if the
	// platform no longer has them. The result may be of another era than the revision.
	WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error)
}
