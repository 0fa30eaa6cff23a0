package syncer

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// maxHistory is the number of batches of changes that a ChangeLog keeps for other VMs. A VM that is further behind receives the
// whole list.
const maxHistory = 64

// Sink processes the objects of a kind. A ChangeLog never calls its methods concurrently.
type Sink interface {
	// Replace replaces all objects by the whole list b.
	Replace(b storeclient.Batch)
	// Apply updates the objects by the changes b, which follow the last call of Replace, Apply or Restore.
	Apply(b storeclient.Batch)
	// Restore replaces all objects by the list b of a new era. The platform has come back from an older copy: the list may lack changes
	// that were made before and that are made again afterwards.
	Restore(b storeclient.Batch)
	// PlatformDown is called when an outage of the platform begins: it does not answer this VM.
	PlatformDown()
	// PlatformRecovered is called when the kind has been read again after an outage.
	PlatformRecovered()
	// Current is called when the objects are known to contain all changes up to the time at.
	Current(at time.Time)
}

// ChangeLog holds the objects of one kind and their most recent changes, and passes them to a sink and to other VMs. Its methods
// are safe for concurrent use.
type ChangeLog struct {
	kind string
	sink Sink

	mu     sync.Mutex
	synced bool
	// platformDown is set when the kind could not be read by the last call, or when the source cannot read it.
	platformDown bool
	// outage is set when the platform does not answer this VM itself. It implies platformDown.
	outage bool
	// currentAt is the last time at which the objects were known to contain all changes, the zero time if that is unknown.
	currentAt time.Time
	position  storeclient.Position
	objects   map[string]storeclient.Item
	// history contains the most recent changes of the era of position, the oldest first. baseRevision is the revision of the log before
	// the first of them.
	history      []storeclient.Batch
	baseRevision uint64
	// changes is written at every change. The logs of a Syncer share it.
	changes        *blackboard.Section[struct{}]
	lastCompressed compressedUpdate
}

// NewChangeLog returns a log that passes the objects of a kind to sink. It is empty until a list has been received.
func NewChangeLog(kind string, sink Sink) *ChangeLog {
	return &ChangeLog{
		kind:    kind,
		sink:    sink,
		objects: map[string]storeclient.Item{},
		changes: &blackboard.Section[struct{}]{},
	}
}

// Position returns the position of the log in the platform's history, and false until a list has been received.
func (l *ChangeLog) Position() (storeclient.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position, l.synced
}

// Replace replaces the objects by a whole list. It changes nothing and returns false if the log is at a later position. The difference
// from the previous objects is added to the history, so that VMs that sync from this VM receive the changes instead of the whole list.
func (l *ChangeLog) Replace(b storeclient.Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.synced:
		l.synced = true
		l.position = b.Position()
		l.baseRevision = b.Revision
		l.store(b)
		l.sink.Replace(b)
		l.notify()
	case b.Position().Before(l.position):
		return false
	case b.Era > l.position.Era:
		l.restore(b)
	default:
		l.add(storeclient.Batch{
			Items:    l.diff(b.Items),
			Era:      b.Era,
			Revision: b.Revision,
		})
	}
	return true
}

// restore begins a new era with the list b. Other VMs receive the whole list, because the history belongs to the era before.
func (l *ChangeLog) restore(b storeclient.Batch) {
	l.position = b.Position()
	l.baseRevision = b.Revision
	l.history = nil
	l.lastCompressed = compressedUpdate{}
	clear(l.objects)
	l.store(b)
	l.sink.Restore(b)
	l.notify()
}

// diff returns the changes that turn the objects of the log into the list.
func (l *ChangeLog) diff(list []storeclient.Item) []storeclient.Item {
	var items []storeclient.Item
	listed := make(map[string]struct{}, len(list))
	for _, item := range list {
		listed[item.Name] = struct{}{}
		if old, ok := l.objects[item.Name]; !ok || !sameObject(old, item) {
			items = append(items, item)
		}
	}
	for name := range l.objects {
		if _, ok := listed[name]; !ok {
			items = append(items, storeclient.Item{
				Name:    name,
				Deleted: true,
			})
		}
	}
	return items
}

// sameObject reports whether two versions of an object are the same. Conditional writes depend on the revision, so that an object that
// was written again with the same value and state is another one.
func sameObject(a, b storeclient.Item) bool {
	return a.Created == b.Created && a.Revision == b.Revision && bytes.Equal(a.Value, b.Value) && bytes.Equal(a.State, b.State)
}

// Apply applies the changes between the positions after and b.Position(). It changes nothing and returns false if the log is not at
// the position after, or if the two are of different eras.
func (l *ChangeLog) Apply(after storeclient.Position, b storeclient.Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || l.position != after || b.Era != after.Era || b.Revision < after.Revision {
		return false
	}
	l.add(b)
	return true
}

// add applies the changes up to the position of b and adds them to the history.
func (l *ChangeLog) add(b storeclient.Batch) {
	l.position = b.Position()
	if len(b.Items) == 0 {
		return
	}
	l.store(b)
	l.history = append(l.history, b)
	if len(l.history) > maxHistory {
		l.baseRevision = l.history[0].Revision
		l.history = slices.Delete(l.history, 0, 1)
	}
	l.sink.Apply(b)
	l.notify()
}

func (l *ChangeLog) store(b storeclient.Batch) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(l.objects, item.Name)
		} else {
			l.objects[item.Name] = item
		}
	}
}

func (l *ChangeLog) notify() {
	l.changes.Write(&struct{}{})
}

// PlatformDown reports whether the platform was last recorded as down.
func (l *ChangeLog) PlatformDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.platformDown
}

// SetPlatformDown records whether the kind can be read, and informs the sink when an outage ends.
func (l *ChangeLog) SetPlatformDown(platformDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage && !platformDown {
		l.outage = false
		l.sink.PlatformRecovered()
	}
	if l.platformDown == platformDown {
		return
	}
	l.platformDown = platformDown
	l.notify()
}

// StartOutage records that the platform does not answer this VM itself, and informs the sink. A VM that loses only its source does
// not know of an outage: the platform may have gone on to remove entries.
func (l *ChangeLog) StartOutage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return
	}
	l.outage = true
	l.sink.PlatformDown()
	if !l.platformDown {
		l.platformDown = true
		l.notify()
	}
}

// MarkCurrent records that the log contains all changes up to the time at.
func (l *ChangeLog) MarkCurrent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.currentAt) {
		l.currentAt = at
		l.sink.Current(at)
	}
}

// CurrentAt returns the last time at which the log was known to contain all changes, the zero time if that is unknown.
func (l *ChangeLog) CurrentAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentAt
}

// Update contains the changes that another VM is missing, or the whole list.
type Update struct {
	messenger.FollowUpdate
	// first and last are the revisions of the first and the last batch of changes in the update; first is 0 for a whole list.
	first uint64
	last  uint64
}

// ChangesSince returns the update for a VM at the position after, nil if the VM is up to date. It returns the whole list if the history
// does not reach back to that position. An update without items only raises the revision of the VM.
func (l *ChangeLog) ChangesSince(after storeclient.Position) (u *Update, synced, platformDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || !after.Before(l.position) {
		return nil, l.synced, l.platformDown
	}
	u = &Update{
		FollowUpdate: messenger.FollowUpdate{
			Kind:     l.kind,
			Era:      l.position.Era,
			After:    after.Revision,
			Revision: l.position.Revision,
		},
		last: l.baseRevision,
	}
	if n := len(l.history); n > 0 {
		u.last = l.history[n-1].Revision
	}
	if after.Era < l.position.Era || after.Revision < l.baseRevision {
		u.Whole = true
		for _, name := range slices.Sorted(maps.Keys(l.objects)) {
			u.Items = append(u.Items, l.objects[name])
		}
		return u, true, l.platformDown
	}
	for _, b := range l.history {
		if b.Revision <= after.Revision {
			continue
		}
		if u.first == 0 {
			u.first = b.Revision
		}
		u.Items = append(u.Items, b.Items...)
	}
	return u, true, l.platformDown
}

// Compress replaces the items of a large update by their compressed encoding. Small updates are not changed.
func (l *ChangeLog) Compress(u *Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastCompressed.compress(u)
}
