package syncer

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// deletionMemory is how long the name of a deleted object is remembered. Copies of the platform are some seconds old.
const deletionMemory = 10 * time.Minute

// Retention determines how long a Retainer waits for the changes that the platform has lost to be made again. After that it follows the
// platform.
type Retention struct {
	// Missing is how long an object is kept that the copy lacks.
	Missing time.Duration
	// Outdated is how long an object that the copy has again is left out if it had been deleted, and passed on as it was last if it had
	// been changed.
	Outdated time.Duration
}

// outdated is an object that the platform lists as it was at the time of its copy.
type outdated struct {
	listed storeclient.Item
	until  time.Time
}

// Retainer is a Sink that passes objects on to another one. When the platform has come back from a copy, what that sink has stays as it
// was before until the lost changes have been made again or the time of Retention is over. It is safe for concurrent use.
type Retainer struct {
	Sink
	kind      string
	retention Retention
	timer     *timer.Service
	log       zerolog.Logger

	mu sync.Mutex
	// position is that of the last list or change.
	position storeclient.Position
	// objects contains what the sink has.
	objects map[string]storeclient.Item
	// deleted contains the times at which objects were deleted. None of them is in objects.
	deleted map[string]time.Time
	// missing contains the times until which objects are kept that the platform lacks. All of them are in objects.
	missing map[string]time.Time
	// outdated contains the objects that the platform lists in a state before that of objects and deleted.
	outdated map[string]outdated
}

// NewRetainer returns a Retainer that passes the objects of a kind on to sink.
func NewRetainer(kind string, sink Sink, retention Retention, t *timer.Service, log zerolog.Logger) *Retainer {
	return &Retainer{
		Sink:      sink,
		kind:      kind,
		retention: retention,
		timer:     t,
		log:       log,
		objects:   map[string]storeclient.Item{},
		deleted:   map[string]time.Time{},
		missing:   map[string]time.Time{},
		outdated:  map[string]outdated{},
	}
}

// Replace passes the whole list on.
func (r *Retainer) Replace(b storeclient.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.objects)
	r.record(b)
	r.Sink.Replace(b)
}

// Apply passes the changes on. An object that is written in the new era is no longer retained.
func (r *Retainer) Apply(b storeclient.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(b)
	r.Sink.Apply(b)
}

func (r *Retainer) record(b storeclient.Batch) {
	r.position = b.Position()
	for _, item := range b.Items {
		delete(r.missing, item.Name)
		delete(r.outdated, item.Name)
		if item.Deleted {
			delete(r.objects, item.Name)
			r.deleted[item.Name] = r.timer.Now()
		} else {
			r.objects[item.Name] = item
			delete(r.deleted, item.Name)
		}
	}
}

// Restore passes on the list of a new era with the objects retained that it lacks or has in an earlier state.
func (r *Retainer) Restore(b storeclient.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	before := r.objects
	r.objects = make(map[string]storeclient.Item, len(b.Items))
	clear(r.missing)
	clear(r.outdated)
	for _, item := range b.Items {
		known, ok := before[item.Name]
		_, deleted := r.deleted[item.Name]
		// The revisions up to the copy are the same in both eras.
		changed := ok && known.Revision > item.Revision && !bytes.Equal(known.Value, item.Value)
		if deleted || changed {
			r.outdated[item.Name] = outdated{
				listed: item,
				until:  now.Add(r.retention.Outdated),
			}
		}
		switch {
		case changed:
			known.Retained = true
			r.objects[item.Name] = known
		case !deleted:
			r.objects[item.Name] = item
		}
	}
	listed := make(map[string]struct{}, len(b.Items))
	for _, item := range b.Items {
		listed[item.Name] = struct{}{}
	}
	for name, known := range before {
		if _, ok := listed[name]; !ok {
			known.Retained = true
			r.objects[name] = known
			r.missing[name] = now.Add(r.retention.Missing)
		}
	}
	r.log.Info().Str("Kind", r.kind).Uint64("Era", b.Era).Uint64("Revision", b.Revision).Uint64("EraBefore", r.position.Era).Uint64("RevisionBefore", r.position.Revision).
		Int("Listed", len(b.Items)).Int("Missing", len(r.missing)).Int("Outdated", len(r.outdated)).Msg("The platform has come back from a copy.")
	r.position = b.Position()
	r.Sink.Restore(storeclient.Batch{
		Items:    sortedItems(r.objects),
		Era:      b.Era,
		Revision: b.Revision,
	})
}

func sortedItems(objects map[string]storeclient.Item) []storeclient.Item {
	items := make([]storeclient.Item, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		items = append(items, objects[name])
	}
	return items
}

// Expire passes on what the platform has for the objects whose time of retention is over.
func (r *Retainer) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []storeclient.Item
	for name, until := range r.missing {
		if !now.Before(until) {
			due = append(due, storeclient.Item{
				Name:    name,
				Deleted: true,
			})
		}
	}
	for _, o := range r.outdated {
		if !now.Before(o.until) {
			due = append(due, o.listed)
		}
	}
	maps.DeleteFunc(r.deleted, func(_ string, at time.Time) bool {
		return now.Sub(at) >= deletionMemory
	})
	if len(due) == 0 {
		return
	}
	names := make([]string, 0, len(due))
	for _, item := range due {
		names = append(names, item.Name)
	}
	slices.Sort(names)
	r.log.Warn().Str("Kind", r.kind).Strs("Objects", names[:min(len(names), maxLogged)]).Int("Count", len(names)).Msg("Changes that the platform lost when it came back from a copy were not made again; its state is in force.")
	b := storeclient.Batch{
		Items:    due,
		Era:      r.position.Era,
		Revision: r.position.Revision,
	}
	r.record(b)
	r.Sink.Apply(b)
}
