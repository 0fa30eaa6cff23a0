package storer

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that the platform no longer has the changes since the revision; the list has to be read again.
var ErrHistoryGone = errors.New("the platform has dropped the changes since the revision")

// Item is one object of a feed, decoded.
type Item[T any] struct {
	Name string
	// Deleted objects have no value.
	Deleted bool
	// Err says why the object cannot be decoded. It has no value then.
	Err   error
	Value T
}

// Batch is a list of objects, or the changes since an earlier revision, complete up to a revision.
type Batch[T any] struct {
	Items    []Item[T]
	Revision uint64
}

// Feed is one kind of object at the platform that can be listed and watched.
type Feed[T any] interface {
	// List returns all objects of the kind.
	List(ctx context.Context) (Batch[T], error)
	// Watch waits up to wait for changes after the revision. It returns ErrHistoryGone when these are not known any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch[T], error)
}
