// Package storeclient is the client of the platform's object store. It alone knows the wire format of Store; package
// platform implements Source.
package storeclient

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Errors of a Store. Any other error, ErrUnavailable included, leaves open whether a write took effect.
var (
	ErrNotFound    = errors.New("the object does not exist")
	ErrExists      = errors.New("the object exists already")
	ErrConflict    = errors.New("the object has another version")
	ErrTooLarge    = errors.New("the value exceeds the limit of the platform")
	ErrUnavailable = errors.New("the platform does not answer")
)

// MaxValueBytes is the largest value of an object in bytes.
const MaxValueBytes = 1 << 20

// Object is one versioned value at the platform.
type Object struct {
	Kind string
	Name string
	// Version grows with each write to any object; 0 means that the object has not been stored.
	Version uint64
	Value   []byte
}

// VM is an entry of the platform's list of entry VMs, which may lag behind the truth.
type VM struct {
	Name             string
	AvailabilityZone string
	Address          netip.AddrPort
	Leaving          bool
}

// Store is the platform's object API. Its methods are safe for concurrent use.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Create stores o if no object has its kind and name, and returns it with its version. Else it returns ErrExists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the value if the stored version equals o.Version, and returns the new version. Else it returns
	// ErrConflict or ErrNotFound.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if the stored version equals o.Version. Else it returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, o Object) error
	// Watch waits up to wait for objects of the kind with a version above after, and returns them ordered by version, or none.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, error)
	// VMs returns the platform's list of entry VMs.
	VMs(ctx context.Context) ([]VM, error)
}
