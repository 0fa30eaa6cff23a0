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
}

// Batch contains all objects of a kind, or their changes since an earlier revision. It is complete up to Revision.
type Batch struct {
	Items    []Item
	Revision uint64
}

// Source lists and watches the objects of a kind. The context of each call needs a deadline.
type Source interface {
	// Ping returns nil if the platform answers. It costs the platform less than the other calls.
	Ping(ctx context.Context) error
	// ListKind returns all objects of the kind. With allowStale the list may be seconds old, and the call costs the platform as little
	// as a ping.
	ListKind(ctx context.Context, kind string, allowStale bool) (Batch, error)
	// WatchKind returns the changes after the revision, and waits up to wait until there are any. It returns ErrHistoryGone if the
	// platform no longer has them.
	WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error)
}
