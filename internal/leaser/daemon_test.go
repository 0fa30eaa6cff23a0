package leaser_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/gossiper"
	"github.com/anvildyke/anvildyke/internal/leaser"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const replicas = 12

type daemon struct {
	board    *blackboard.Board
	gossiper *gossiper.Gossiper
	leaser   *leaser.Leaser
	stop     func()
}

func start(t *testing.T, name string, ln net.Listener, peers []netip.AddrPort) *daemon {
	clock := timer.NewWall()
	rec := recorder.New(name, clock)
	pool := messenger.NewPool(rec, logger.Discard())
	d := &daemon{
		board: &blackboard.Board{},
	}
	var set parser.Set
	for i := range replicas {
		set = append(set, parser.BackendServer{
			Name:             fmt.Sprintf("replica-%d", i),
			AvailabilityZone: "zone",
		})
	}
	d.board.Config.Write(blackboard.NewConfig(1, set))
	d.gossiper = gossiper.New(gossiper.Options{
		Name:             name,
		AvailabilityZone: "zone",
		Address:          netip.MustParseAddrPort(ln.Addr().String()),
		Peers:            peers,
		Client:           pool,
		Board:            d.board,
		Timer:            clock,
		Recorder:         rec,
		Logger:           logger.Discard(),
	})
	d.leaser = leaser.New(leaser.Options{
		Name:                name,
		AvailabilityZone:    "zone",
		Incarnation:         d.gossiper.Incarnation(),
		Client:              pool,
		Board:               d.board,
		Timer:               clock,
		Recorder:            rec,
		Logger:              logger.Discard(),
		Ready:               d.gossiper.MembershipKnown,
		OnMessage:           d.gossiper.MessageReceived,
		OnConnectionRefused: d.gossiper.ConnectionRefused,
	})
	server := messenger.NewServer(rec, logger.Discard())
	assert.NilError(t, server.Register("Peer", d.gossiper.RPC()))
	assert.NilError(t, server.Register("Peer", d.leaser.RPC()))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		assert.Check(t, server.Serve(ctx, ln))
	})
	wg.Go(func() {
		assert.Check(t, d.gossiper.Run(ctx))
	})
	wg.Go(func() {
		assert.Check(t, d.leaser.Run(ctx))
	})
	d.stop = sync.OnceFunc(func() {
		cancel()
		_ = pool.Close()
		wg.Wait()
	})
	t.Cleanup(d.stop)
	return d
}

// countWhole returns the number of replicas whose whole limit the daemon may use.
func (d *daemon) countWhole() int {
	n := 0
	for _, lease := range d.board.Leases.Read().ByReplica {
		if lease.ShareAt(time.Now()) == blackboard.ShareAll {
			n++
		}
	}
	return n
}

// waitAllHeld waits until the daemons together hold all replicas, and each of them at least one.
func waitAllHeld(t *testing.T, daemons ...*daemon) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n := 0
		for _, d := range daemons {
			held := d.countWhole()
			if held == 0 {
				return poll.Continue("a daemon may use the whole limit of no replica")
			}
			n += held
		}
		if n == replicas {
			return poll.Success()
		}
		return poll.Continue("%d of %d replicas are held", n, replicas)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against replicas without a holder after the start, after a VM has stopped without notice, and after a graceful
// departure, when gossip and leases work together over real connections.
func TestReplicasMoveAfterKillAndDeparture(t *testing.T) {
	var listeners []net.Listener
	var peers []netip.AddrPort
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, ln)
		peers = append(peers, netip.MustParseAddrPort(ln.Addr().String()))
	}
	var vms []*daemon
	for i, ln := range listeners {
		vms = append(vms, start(t, fmt.Sprintf("vm%d", i), ln, peers))
	}
	waitAllHeld(t, vms...)
	vms[2].stop()
	waitAllHeld(t, vms[:2]...)
	vms[1].leaser.ReleaseAll(context.Background())
	assert.Equal(t, vms[1].countWhole(), 0)
	vms[1].gossiper.AnnounceDeparture(context.Background(), blackboard.MemberLeaving)
	waitAllHeld(t, vms[0])
}
