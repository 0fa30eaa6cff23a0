// Package installer installs new generations of the configuration. It watches the configuration head on the platform, fetches the
// parts from the platform or from other entry VMs, and writes the configuration to the blackboard.
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
	// watchersPerZone is the number of VMs of a zone that watch the platform, so that the load on the platform depends on the
	// number of zones and not of VMs. With two, the loss of one causes no delay.
	watchersPerZone = 2
	// watchWait is the time that one watch waits on the platform for a change.
	watchWait = 5 * time.Second
	// watchMargin is the time allowed for the response of a watch in addition to watchWait.
	watchMargin = 2 * time.Second
	// roleCheckInterval is the interval at which a VM that does not watch checks whether it has become a watcher.
	roleCheckInterval = time.Second
	// callTimeout limits one call to the platform or a peer.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff limit the delay between two attempts, which doubles after each failure. The delay used is chosen
	// at random between half of it and all of it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// maxSenders limits the VMs that are recorded as senders of a head.
	maxSenders = 4
	// maxOtherPeers limits the VMs that one attempt asks in addition to the senders of the head.
	maxOtherPeers = 3
	// maxReplyBytes limits the total size of the parts in one reply to a peer. The peer requests the remaining parts again.
	maxReplyBytes = 1 << 20
)

// partName is the name of this component in log lines and events, and the key by which the watchers of a zone are ranked.
const partName = "watcher"

// Options are the dependencies of an Installer. All fields are mandatory.
type Options struct {
	// VMName is the name of this VM, and AvailabilityZone its zone.
	VMName           string
	AvailabilityZone string
	Board            *blackboard.Board
	Store            storeclient.Store
	Client           messenger.Client
	Publisher        messenger.RecordPublisher
	Timer            *timer.Service
	Recorder         *recorder.Recorder
	Logger           logger.Logger
}

// Installer installs configurations. It is the only writer of the Config section of the blackboard. Its exported methods are safe
// for concurrent use.
type Installer struct {
	opts Options
	log  zerolog.Logger

	mu sync.Mutex
	// highest is the head with the highest generation received so far. Its generation never decreases. senders are at most
	// maxSenders VMs that sent it.
	highest messenger.ConfigHeadRecord
	senders []string
	// fromPlatform is true if this VM read highest from the platform or published it.
	fromPlatform bool
	// conflictGeneration is the last generation for which a different second head was refused. Each is reported once.
	conflictGeneration uint64
	// wake has a capacity of one signal, which means that highest or its sources have changed.
	wake chan struct{}
	// cache contains, by checksum, the parts of the installed and the previous generation and those fetched for highest.
	cache map[string]cachedPart
	// publishedParts contains, by checksum, the values of the parts of a head that this VM has published. It is nil once that
	// head or a later one is installed.
	publishedParts map[string][]byte
	// previousParts are the checksums of the parts of the previously installed generation.
	previousParts []string
	// installed is the head of the current configuration. Its generation is 0 until the first installation.
	installed messenger.ConfigHeadRecord
}

// cachedPart is the encoded value of a part with its decoded objects.
type cachedPart struct {
	value []byte
	set   parser.Set
}

// New returns an Installer that has received no head yet. It starts no goroutine.
func New(opts Options) *Installer {
	return &Installer{
		opts:  opts,
		log:   opts.Logger.Part(partName),
		wake:  make(chan struct{}, 1),
		cache: map[string]cachedPart{},
	}
}

// Run watches the head and installs new generations until ctx is done.
func (in *Installer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { in.watchLoop(ctx) })
	in.installLoop(ctx)
	wg.Wait()
}

// EnqueueReceivedHead queues for installation a head that the named VM has sent. An invalid head is refused. It does not block.
func (in *Installer) EnqueueReceivedHead(head messenger.ConfigHeadRecord, from string) {
	if err := publisher.CheckHeadRecord(head); err != nil {
		in.log.Warn().Err(err).Str("From", from).Msg("Refused an invalid configuration head.")
		return
	}
	in.enqueue(head, from)
}

// EnqueuePublishedHead queues for installation a head that this VM has published, with all its parts. It does not block. The
// parts are not read from the platform: if the platform failed or returned a stale read at this moment, no VM could install the
// set although it was accepted.
func (in *Installer) EnqueuePublishedHead(head messenger.ConfigHeadRecord, parts []publisher.Part) {
	in.mu.Lock()
	if head.Generation > in.installed.Generation && head.Generation >= in.highest.Generation {
		in.publishedParts = map[string][]byte{}
		for _, p := range parts {
			in.publishedParts[p.Sum] = p.Value
		}
	}
	in.mu.Unlock()
	in.enqueue(head, "")
	// The same head may already have been read from the platform. enqueue then does not signal, although the parts have become
	// available.
	in.signalWake()
}

// enqueue records a head of a higher generation than all previous ones, or another source of the highest one. from is empty for a
// head that this VM has read from the platform or published.
func (in *Installer) enqueue(head messenger.ConfigHeadRecord, from string) {
	in.mu.Lock()
	higher := head.Generation > in.highest.Generation
	equal := head.Generation == in.highest.Generation && slices.Equal(head.Parts, in.highest.Parts)
	conflict := head.Generation == in.highest.Generation && !equal && in.conflictGeneration < head.Generation
	if conflict {
		in.conflictGeneration = head.Generation
	}
	if higher {
		in.highest = head
		in.senders = nil
		in.fromPlatform = false
		in.evictUnused()
	}
	isNewSource := (higher || equal) && in.addSource(from)
	in.mu.Unlock()
	if conflict {
		in.opts.Recorder.Record(partName, "HeadConflict", fmt.Sprint(head.Generation), fmt.Sprintf("refused a different head from %q", from))
		in.log.Error().Uint64("Generation", head.Generation).Str("From", from).Msg("Refused a different configuration head of the same generation.")
	}
	if isNewSource {
		in.signalWake()
	}
}

// signalWake makes the install loop start its next attempt at once.
func (in *Installer) signalWake() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// addSource adds a source of the highest head and reports whether it was added. The caller holds mu.
func (in *Installer) addSource(from string) bool {
	if from == "" {
		isNew := !in.fromPlatform
		in.fromPlatform = true
		return isNew
	}
	if len(in.senders) >= maxSenders || slices.Contains(in.senders, from) {
		return false
	}
	in.senders = append(in.senders, from)
	return true
}

// IsConfigWatcher reports whether the VM self watches the configuration head on the platform. The watchers of a zone are the
// watchersPerZone VMs with the highest ranks among its alive VMs. A VM that has no other alive VM in its zone always watches.
func IsConfigWatcher(m *blackboard.Members, zone, self string) bool {
	names := []string{self}
	for _, member := range m.ByZone[zone] {
		if member.State == blackboard.MemberAlive && member.Name != self {
			names = append(names, member.Name)
		}
	}
	ranked := hasher.Rank(partName, names)
	return slices.Contains(ranked[:min(watchersPerZone, len(ranked))], self)
}

func (in *Installer) isConfigWatcher() bool {
	return IsConfigWatcher(in.opts.Board.Members.Read(), in.opts.AvailabilityZone, in.opts.VMName)
}

// wait waits for d or until ctx is done.
func (in *Installer) wait(ctx context.Context, d time.Duration) {
	sub := in.opts.Timer.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-ctx.Done():
	}
}

// backoff returns the delay before the next attempt after n previous failures.
func backoff(n int) time.Duration {
	d := min(minBackoff<<min(n, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}

// memberAddress returns the peer address of a member, or false if it is unknown, has no address or is in the state Gone.
func memberAddress(m *blackboard.Members, name string) (netip.AddrPort, bool) {
	member, ok := m.ByName[name]
	return member.Address, ok && member.State != blackboard.MemberGone && member.Address.IsValid()
}
