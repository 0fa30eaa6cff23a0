// Package storeclient is the client of the platform's object store. It has two interfaces: Store, whose HTTP implementation is in
// this package, and Source, which package platform implements.
package storeclient

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Errors of a Store. After ErrUnavailable and any error that is not listed here, a write may or may not have taken effect.
var (
	ErrNotFound    = errors.New("the object does not exist")
	ErrExists      = errors.New("the object exists already")
	ErrConflict    = errors.New("the object has another version")
	ErrTooLarge    = errors.New("the value exceeds the limit of the platform")
	ErrUnavailable = errors.New("the platform does not answer")
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a versioned value in the platform's store.
type Object struct {
	Kind string
	Name string
	// Version increases with each write to any object of the store. 0 means that the object has not been stored.
	Version uint64
	Value   []byte
}

// VM is a record of the platform's list of entry VMs, the VMs that accept callers' requests. The list may be out of date.
type VM struct {
	Name             string
	AvailabilityZone string
	Address          netip.AddrPort
	Leaving          bool
}

// Store is the platform's object store. Its methods are safe for concurrent use.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Create stores o if no object has its kind and name, and returns it with its version. Otherwise it returns ErrExists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the value if the stored version equals o.Version, and returns o with its new version. Otherwise it returns
	// ErrConflict or ErrNotFound.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if the stored version equals o.Version. Otherwise it returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, o Object) error
	// Watch returns the objects of the kind with a version above after, ordered by version. It waits up to wait until there are any,
	// and returns none if there are none by then.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, error)
	// VMs returns the platform's list of entry VMs.
	VMs(ctx context.Context) ([]VM, error)
}
