// Package installer installs new generations of the configuration: it watches the configuration head, fetches the parts from
// the platform or from other entry VMs, and puts them on the blackboard.
package installer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// watchersPerZone is how many VMs of a zone watch the platform, so that its load grows with the zones only. Two, so that
	// the loss of one delays nothing.
	watchersPerZone = 2
	// watchWait is how long one watch waits at the platform.
	watchWait = 5 * time.Second
	// watchSlack is the time that the answer of a watch may take on top of its wait.
	watchSlack = 2 * time.Second
	// rolePeriod is how often a VM that does not watch looks whether it has to.
	rolePeriod = time.Second
	// callTimeout bounds one call to the platform or a peer.
	callTimeout = 2 * time.Second
	// retryMin and retryMax bound the pause between two attempts, which doubles and is drawn between half and whole.
	retryMin = 100 * time.Millisecond
	retryMax = 3 * time.Second
	// maxSenders bounds the VMs that are remembered as sources of a head.
	maxSenders = 4
	// maxPeerTries bounds the peers that one attempt asks before it asks the platform.
	maxPeerTries = 3
	// maxReply bounds the bytes of the parts in one reply to a peer. The receiver asks again for the rest.
	maxReply = 1 << 20
)

// part is the name of this part in logs and events.
const part = "watcher"

// Options are what a Watcher needs. All fields are mandatory.
type Options struct {
	// Self and AvailabilityZone are the name and the zone of this VM.
	Self             string
	AvailabilityZone string
	Board            *blackboard.Board
	Store            storeclient.Store
	Client           messenger.Client
	Publisher        messenger.RecordPublisher
	Timer            *timer.Service
	Recorder         *recorder.Recorder
	Logger           logger.Logger
}

// Installer owns the section Config of the blackboard. Its exported methods are safe for concurrent use.
type Installer struct {
	opts Options
	log  zerolog.Logger

	mu sync.Mutex
	// seen is the highest head seen so far, and senders the VMs that are known to have it. The generation never falls.
	seen    messenger.ConfigHeadRecord
	senders []string
	// fromPlatform is true when this VM read the head from the platform itself.
	fromPlatform bool
	// conflict is the last generation for which a second head was refused.
	conflict uint64
	// news has room for one signal that seen or its sources have changed.
	news chan struct{}
	// cache holds the parts of the installed generation, of the one before, and those fetched for the next one.
	cache map[string]cached
	// local are the values of the parts of seen when this VM has published it. They are nil once it is installed.
	local map[string][]byte
	// previous are the sums of the generation that was installed before.
	previous  []string
	installed messenger.ConfigHeadRecord
}

// cached is a part with the objects in it.
type cached struct {
	value []byte
	set   parser.Set
}

// New returns a watcher that has seen no head.
func New(opts Options) *Installer {
	return &Installer{
		opts:  opts,
		log:   opts.Logger.Part(part),
		news:  make(chan struct{}, 1),
		cache: map[string]cached{},
	}
}

// Run follows the head until the context ends.
func (w *Installer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.watchLoop(ctx) })
	w.installLoop(ctx)
	wg.Wait()
}

// EnqueueReceivedHead queues a head that the named VM has sent. It does not block.
func (w *Installer) EnqueueReceivedHead(head messenger.ConfigHeadRecord, from string) {
	if err := publisher.CheckHeadRecord(head); err != nil {
		w.log.Warn().Err(err).Str("From", from).Msg("Refused a configuration head.")
		return
	}
	w.queue(head, from)
}

// EnqueuePublishedHead queues a head that this VM has published itself, with all its parts. It does not block. The platform is not
// asked for the parts: after an outage or a stale read at this moment no VM could install the set, although it was accepted.
func (w *Installer) EnqueuePublishedHead(head messenger.ConfigHeadRecord, parts []publisher.Part) {
	w.mu.Lock()
	if head.Generation > w.installed.Generation && head.Generation >= w.seen.Generation {
		w.local = map[string][]byte{}
		for _, p := range parts {
			w.local[p.Sum] = p.Value
		}
	}
	w.mu.Unlock()
	w.queue(head, "")
	// The head may have been read from the platform before, so that it is no news without its parts.
	w.signal()
}

// queue remembers a head that is higher than all before, or another source of the highest one. From is empty for the platform.
func (w *Installer) queue(head messenger.ConfigHeadRecord, from string) {
	w.mu.Lock()
	higher := head.Generation > w.seen.Generation
	equal := head.Generation == w.seen.Generation && slices.Equal(head.Parts, w.seen.Parts)
	conflict := head.Generation == w.seen.Generation && !equal && w.conflict < head.Generation
	if conflict {
		w.conflict = head.Generation
	}
	if higher {
		w.seen = head
		w.senders = nil
		w.fromPlatform = false
		w.evict()
	}
	isNews := (higher || equal) && w.remember(from)
	w.mu.Unlock()
	if conflict {
		w.opts.Recorder.Record(part, "HeadConflict", fmt.Sprint(head.Generation), fmt.Sprintf("refused another head, from %q", from))
		w.log.Error().Uint64("Generation", head.Generation).Str("From", from).Msg("Refused another head of the same generation.")
	}
	if isNews {
		w.signal()
	}
}

// signal lets the install loop try at once.
func (w *Installer) signal() {
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// remember adds a source of the highest head and reports whether it was new. The caller holds mu.
func (w *Installer) remember(from string) bool {
	if from == "" {
		isNew := !w.fromPlatform
		w.fromPlatform = true
		return isNew
	}
	if len(w.senders) >= maxSenders || slices.Contains(w.senders, from) {
		return false
	}
	w.senders = append(w.senders, from)
	return true
}

// IsConfigWatcher reports whether the VM self has to watch the platform: it is among the two highest ranks of the alive VMs of its
// zone. A VM without alive neighbours always watches.
func IsConfigWatcher(m *blackboard.Members, zone, self string) bool {
	names := []string{self}
	for _, member := range m.ByZone[zone] {
		if member.State == blackboard.MemberAlive && member.Name != self {
			names = append(names, member.Name)
		}
	}
	ranked := hasher.Rank(part, names)
	return slices.Contains(ranked[:min(watchersPerZone, len(ranked))], self)
}

func (w *Installer) isWatcher() bool {
	return IsConfigWatcher(w.opts.Board.Members.Read(), w.opts.AvailabilityZone, w.opts.Self)
}

// wait pauses for d or until the context ends.
func (w *Installer) wait(ctx context.Context, d time.Duration) {
	sub := w.opts.Timer.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-ctx.Done():
	}
}

// backoff is the pause before the next attempt after n failures.
func backoff(n int) time.Duration {
	d := min(retryMin<<min(n, 10), retryMax)
	return d/2 + rand.N(d/2)
}

// address returns the peer address of a member that may run.
func address(m *blackboard.Members, name string) (netip.AddrPort, bool) {
	member, ok := m.ByName[name]
	return member.Address, ok && member.State != blackboard.MemberGone && member.Address.IsValid()
}
