package storeclient

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that the platform no longer has the changes since the revision; the list has to be read again.
var ErrHistoryGone = errors.New("the platform has dropped the changes since the revision")

// Item is one object of a kind as the platform holds it.
type Item struct {
	Name string
	// Deleted objects have no value.
	Deleted bool
	Value   []byte
	// State is what we have written about an object of somebody else, nil if that is nothing.
	State []byte
	// Created and Revision are the platform's revisions of the object's creation and last change.
	Created  uint64
	Revision uint64
}

// Batch is the list of objects of a kind, or the changes since an earlier revision, complete up to a revision.
type Batch struct {
	Items    []Item
	Revision uint64
}

// Source reads kinds of objects. Calls need a context with a deadline.
type Source interface {
	// Ping returns nil if the platform answers. It is cheaper than other calls.
	Ping(ctx context.Context) error
	// ListKind returns all objects of the kind.
	ListKind(ctx context.Context, kind string) (Batch, error)
	// WatchKind waits up to wait for changes after the revision. It returns ErrHistoryGone when these are not known any more.
	WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error)
}
