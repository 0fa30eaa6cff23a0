package syncer

import (
	"bytes"
	"maps"
	"slices"
	"sync"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// maxHistory bounds the batches of changes that a Log keeps for other VMs. A VM that is further behind gets the whole list.
const maxHistory = 64

// Sink takes the objects of a kind. Its methods are called one at a time.
type Sink interface {
	// Replace takes the whole list.
	Replace(b storeclient.Batch)
	// Apply takes changes since the last call.
	Apply(b storeclient.Batch)
	// PlatformRecovered says that the platform answers again after an outage.
	PlatformRecovered()
}

// ChangeLog holds the objects of one kind and their last changes, passes them to a sink and to other VMs. Its methods are safe for
// concurrent use.
type ChangeLog struct {
	kind string
	sink Sink

	mu       sync.Mutex
	synced   bool
	away     bool
	revision uint64
	objects  map[string]storeclient.Item
	// history holds the last changes, the oldest first; base is the revision before them.
	history []storeclient.Batch
	base    uint64
	// changes is written at every change; the logs of a Follower share it.
	changes *blackboard.Section[struct{}]
	packed  packed
}

// NewChangeLog returns an empty log of a kind.
func NewChangeLog(kind string, sink Sink) *ChangeLog {
	return &ChangeLog{
		kind:    kind,
		sink:    sink,
		objects: map[string]storeclient.Item{},
		changes: &blackboard.Section[struct{}]{},
	}
}

// Revision returns the revision of the log, and false as long as no list is known.
func (l *ChangeLog) Revision() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.synced
}

// Replace takes a whole list unless a newer one is known. What it changes is kept like other changes, so that VMs that follow this
// one need not get the whole list too.
func (l *ChangeLog) Replace(b storeclient.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced {
		l.synced = true
		l.revision = b.Revision
		l.base = b.Revision
		l.store(b)
		l.sink.Replace(b)
		l.signal()
		return
	}
	if b.Revision >= l.revision {
		l.add(storeclient.Batch{
			Items:    l.difference(b.Items),
			Revision: b.Revision,
		})
	}
}

// difference returns the changes that lead from the objects of the log to a list.
func (l *ChangeLog) difference(list []storeclient.Item) []storeclient.Item {
	var items []storeclient.Item
	named := make(map[string]struct{}, len(list))
	for _, item := range list {
		named[item.Name] = struct{}{}
		if old, ok := l.objects[item.Name]; !ok || !equal(old, item) {
			items = append(items, item)
		}
	}
	for name := range l.objects {
		if _, ok := named[name]; !ok {
			items = append(items, storeclient.Item{
				Name:    name,
				Deleted: true,
			})
		}
	}
	return items
}

// equal reports whether two states of an object say the same.
func equal(a, b storeclient.Item) bool {
	return bytes.Equal(a.Value, b.Value) && bytes.Equal(a.State, b.State)
}

// Apply takes the changes between two revisions, and reports false if the log is not at the first one.
func (l *ChangeLog) Apply(after uint64, b storeclient.Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || l.revision != after || b.Revision < after {
		return false
	}
	l.add(b)
	return true
}

// add takes changes up to a revision.
func (l *ChangeLog) add(b storeclient.Batch) {
	l.revision = b.Revision
	if len(b.Items) == 0 {
		return
	}
	l.store(b)
	l.history = append(l.history, b)
	if len(l.history) > maxHistory {
		l.base = l.history[0].Revision
		l.history = slices.Delete(l.history, 0, 1)
	}
	l.sink.Apply(b)
	l.signal()
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

func (l *ChangeLog) signal() {
	l.changes.Write(&struct{}{})
}

// PlatformDown reports whether the platform does not answer.
func (l *ChangeLog) PlatformDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away
}

// SetPlatformDown notes whether the platform answers.
func (l *ChangeLog) SetPlatformDown(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away == away {
		return
	}
	l.away = away
	if !away {
		l.sink.PlatformRecovered()
	}
	l.signal()
}

// Update is what a VM at a revision lacks.
type Update struct {
	messenger.FollowUpdate
	// first and last are the revisions of the first and the last batch of changes in it; first is 0 for a whole list.
	first uint64
	last  uint64
}

// ChangesSince returns what a VM at a revision lacks, nil if that is nothing. An update without items says that nothing changed up to its revision.
func (l *ChangeLog) ChangesSince(after uint64) (u *Update, synced, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || l.revision <= after {
		return nil, l.synced, l.away
	}
	u = &Update{
		FollowUpdate: messenger.FollowUpdate{
			Kind:     l.kind,
			After:    after,
			Revision: l.revision,
		},
		last: l.base,
	}
	if n := len(l.history); n > 0 {
		u.last = l.history[n-1].Revision
	}
	if after < l.base {
		u.Whole = true
		for _, name := range slices.Sorted(maps.Keys(l.objects)) {
			u.Items = append(u.Items, l.objects[name])
		}
		return u, true, l.away
	}
	for _, b := range l.history {
		if b.Revision <= after {
			continue
		}
		if u.first == 0 {
			u.first = b.Revision
		}
		u.Items = append(u.Items, b.Items...)
	}
	return u, true, l.away
}

// Compress compresses the items of a large update for another VM.
func (l *ChangeLog) Compress(u *Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.packed.pack(u)
}
