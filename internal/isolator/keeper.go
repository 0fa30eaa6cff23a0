package isolator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	keepInterval = 500 * time.Millisecond
	// A VM makes one write in each saveInterval over time, and up to saveBurst at once, so that crashes that follow each other are all saved
	// before the VMs may end. archiveRetry is the time until the next call after one has failed.
	saveInterval   = time.Second
	saveBurst      = 5
	archiveRetry   = 2 * time.Second
	archiveTimeout = time.Second
	// refreshInterval is the time after which restrictions are saved again, in case another VM that took itself for the reader of the zone
	// has replaced them.
	refreshInterval = 30 * time.Second
	// reloadInterval is the time between two reads while another zone cannot be reached.
	reloadInterval = 2 * time.Second
	// durableDelay is the age from which a crash is saved that restricts nothing. Most requests have been answered by then.
	durableDelay = time.Second
)

// Archive stores data for each zone at the platform, so that it outlives the processes of the VMs.
type Archive interface {
	// Era returns the highest era that the platform has stated, 0 until it has stated one.
	Era() uint64
	// Load returns the data of each zone. With allowStale it may be seconds old, and the call costs the platform less.
	Load(ctx context.Context, allowStale bool) (map[string][]byte, error)
	// Save replaces the data of a zone.
	Save(ctx context.Context, zone string, data []byte) error
}

// KeeperOptions are the dependencies of a Keeper.
type KeeperOptions struct {
	Zone     string
	Isolator *Isolator
	Archive  Archive
	// IsReader reports whether this VM reads the platform for its zone, and PlatformAnswers whether the platform answers it.
	IsReader        func() bool
	PlatformAnswers func() bool
	// IsCutOff reports whether another zone cannot be reached.
	IsCutOff func() bool
	Timer    *timer.Service
	Log      zerolog.Logger
}

// Keeper saves what the VMs of a zone know of requests that crash servers, and loads it when the VM becomes the reader of its zone.
type Keeper struct {
	o KeeperOptions
	// The other fields are accessed only by the goroutine of Run.

	// loaded is set once the archive has been read, in the era era.
	loaded bool
	era    uint64
	// saved contains the crashes in the data of the zone, and restricted the keys among them whose requests were restricted.
	saved      map[savedCrash]bool
	restricted map[Key]bool
	// savedAt is the time of the last write.
	savedAt time.Time
	// notBefore is the time of the next call after one has failed, and reloadAt that of the next read while another zone cannot be reached.
	notBefore time.Time
	reloadAt  time.Time
	// savesUntil is the time up to which writes have been used: each adds saveInterval, and it may be ahead by saveBurst of these.
	savesUntil time.Time
}

// savedCrash identifies a crash in the archive.
type savedCrash struct {
	key    Key
	server uint64
}

// archivedReports is the JSON form of the data of a zone.
type archivedReports struct {
	Reports []messenger.CrashReport
}

// NewKeeper returns a Keeper. Run has to be called to start it.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		o: o,
	}
}

// Run loads and saves until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	k.o.Isolator.everyRestriction(ctx, k.o.Timer, keepInterval, func(now time.Time) {
		k.keepIfReader(ctx, now)
	})
}

// keepIfReader loads and saves once if that is the task of this VM and there is a reason to.
func (k *Keeper) keepIfReader(ctx context.Context, now time.Time) {
	if now.Before(k.notBefore) || !k.o.IsReader() || !k.o.PlatformAnswers() {
		return
	}
	call, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if err := k.keep(call, now); err != nil {
		k.notBefore = now.Add(archiveRetry)
		k.o.Log.Info().Err(err).Msg("What is known of requests that crash backend servers could not be exchanged with the platform.")
	}
}

func (k *Keeper) keep(ctx context.Context, now time.Time) error {
	era := k.o.Archive.Era()
	switch {
	case !k.loaded || era != k.era:
		// A store that has come back from a copy may have lost what was saved.
		if err := k.load(ctx, false, now); err != nil {
			return err
		}
		k.loaded, k.era = true, era
	case k.o.IsCutOff() && !now.Before(k.reloadAt):
		if err := k.load(ctx, true, now); err != nil {
			return err
		}
		k.reloadAt = now.Add(reloadInterval)
	}
	return k.save(ctx, now)
}

// load merges the data of all zones.
func (k *Keeper) load(ctx context.Context, allowStale bool, now time.Time) error {
	zones, err := k.o.Archive.Load(ctx, allowStale)
	if err != nil {
		return err
	}
	if !allowStale {
		k.recordSaved(nil)
	}
	loaded := 0
	for zone, data := range zones {
		var archived archivedReports
		if err := json.Unmarshal(data, &archived); err != nil {
			k.o.Log.Warn().Str("Zone", zone).Err(err).Msg("What a zone has saved of requests that crash backend servers cannot be decoded.")
			continue
		}
		loaded += len(archived.Reports)
		k.o.Isolator.Merge(archived.Reports, now)
		if zone == k.o.Zone && !allowStale {
			k.recordSaved(archived.Reports)
			k.savedAt = now
		}
	}
	if loaded > 0 && !allowStale {
		k.o.Log.Info().Int("Crashes", loaded).Uint64("Era", k.o.Archive.Era()).Msg("What is saved of requests that crash backend servers was read.")
	}
	return nil
}

// save writes the data of the zone if it lacks a crash, states one that no longer restricts requests, or has not been written for some time.
func (k *Keeper) save(ctx context.Context, now time.Time) error {
	if k.savesUntil.Sub(now) > (saveBurst-1)*saveInterval {
		return nil
	}
	reports := k.o.Isolator.durable(now)
	refresh := len(k.restricted) > 0 && now.Sub(k.savedAt) >= refreshInterval
	if !refresh && !k.changed(reports) {
		return nil
	}
	data, err := json.Marshal(archivedReports{
		Reports: reports,
	})
	if err != nil {
		return err
	}
	if k.savesUntil.Before(now) {
		k.savesUntil = now
	}
	k.savesUntil = k.savesUntil.Add(saveInterval)
	if err := k.o.Archive.Save(ctx, k.o.Zone, data); err != nil {
		return err
	}
	k.recordSaved(reports)
	k.savedAt = now
	return nil
}

// recordSaved records that the data of the zone at the platform contains the reports.
func (k *Keeper) recordSaved(reports []messenger.CrashReport) {
	k.saved, k.restricted = map[savedCrash]bool{}, map[Key]bool{}
	crashes := map[Key]int{}
	for _, r := range reports {
		k.saved[savedCrash{
			key:    Key(r.Key),
			server: r.Server,
		}] = true
		if crashes[Key(r.Key)]++; crashes[Key(r.Key)] >= suspectCrashes {
			k.restricted[Key(r.Key)] = true
		}
	}
}

// changed reports whether the reports have to be saved. Crashes that have expired need no write.
func (k *Keeper) changed(reports []messenger.CrashReport) bool {
	lifted := maps.Clone(k.restricted)
	for _, r := range reports {
		if !k.saved[savedCrash{
			key:    Key(r.Key),
			server: r.Server,
		}] {
			return true
		}
		delete(lifted, Key(r.Key))
	}
	return len(lifted) > 0
}
