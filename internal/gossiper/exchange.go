package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

func (g *Gossiper) startRound(ctx context.Context, wg *sync.WaitGroup) {
	g.mu.Lock()
	targets := g.pickTargets(g.o.Timer.Now())
	g.mu.Unlock()
	for _, t := range targets {
		wg.Go(func() {
			g.exchange(ctx, t)
		})
	}
}

// pickTargets chooses the VMs to exchange with in a round, without those whose last exchange is still running, and marks them
// as busy.
func (g *Gossiper) pickTargets(now time.Time) []target {
	members := g.o.Board.Members.Read()
	var targets []target
	for _, name := range g.pickPartners(members, now) {
		targets = append(targets, targetOf(members.ByName[name]))
	}
	if slices.Contains(Relays(members, g.o.AvailabilityZone), g.o.Name) {
		for zone := range members.ByZone {
			if relays := Relays(members, zone); zone != g.o.AvailabilityZone && len(relays) > 0 {
				targets = append(targets, targetOf(members.ByName[relays[rand.IntN(len(relays))]]))
			}
		}
	}
	if !g.exchanged || now.Sub(g.startedAt)%ReconnectPeriod < ExchangePeriod {
		targets = append(targets, g.pickUnreachable(members)...)
	}
	return slices.DeleteFunc(targets, func(t target) bool {
		peer := g.peerState(t)
		if peer.busy {
			return true
		}
		peer.busy = true
		return false
	})
}

// pickPartners returns up to Fanout VMs of the local zone. Members that are not Alive are chosen only if there are too few
// others, and are dropped in the next round.
func (g *Gossiper) pickPartners(members *blackboard.Members, now time.Time) []string {
	var alive, rest []string
	for _, m := range members.ByZone[g.o.AvailabilityZone] {
		switch {
		case m.Name == g.o.Name:
		case m.State == blackboard.MemberAlive:
			alive = append(alive, m.Name)
		default:
			rest = append(rest, m.Name)
		}
	}
	if now.Sub(g.partnersRotatedAt) >= PartnerRotationPeriod && len(g.partners) > 0 {
		g.partners = g.partners[1:]
		g.partnersRotatedAt = now
	}
	g.partners = slices.DeleteFunc(g.partners, func(name string) bool { return !slices.Contains(alive, name) })
	for _, candidates := range [][]string{alive, rest} {
		rand.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		for _, name := range candidates {
			if len(g.partners) < Fanout && !slices.Contains(g.partners, name) {
				g.partners = append(g.partners, name)
			}
		}
	}
	return g.partners
}

// pickUnreachable returns the configured peers whose address belongs to no known member or to one that is Gone, and one random
// member that is not Alive.
func (g *Gossiper) pickUnreachable(members *blackboard.Members) []target {
	known := map[netip.AddrPort]bool{
		g.o.Address: true,
	}
	var targets []target
	var unreachable []target
	for _, m := range members.ByName {
		if m.State != blackboard.MemberGone {
			known[m.Address] = true
		}
		if m.State != blackboard.MemberAlive && m.Name != g.o.Name {
			unreachable = append(unreachable, targetOf(m))
		}
	}
	for _, p := range g.o.Peers {
		if !known[p] {
			targets = append(targets, target{
				address: p,
			})
		}
	}
	if len(unreachable) > 0 {
		targets = append(targets, unreachable[rand.IntN(len(unreachable))])
	}
	return targets
}

func targetOf(m blackboard.Member) target {
	return target{
		name:        m.Name,
		zone:        m.AvailabilityZone,
		address:     m.Address,
		incarnation: m.Incarnation,
	}
}

// Relays returns the VMs of a zone that exchange with other zones, at most RelaysPerZone. They are chosen by rendezvous hashing
// among the Alive members, or among all members that are not Gone if none is Alive.
func Relays(members *blackboard.Members, zone string) []string {
	return topRanked("relay", RelaysPerZone, members, zone)
}

// Watchers returns the VMs of a zone that read the platform's VM list, at most WatchersPerZone. They are chosen like relays.
func Watchers(members *blackboard.Members, zone string) []string {
	return topRanked("watcher", WatchersPerZone, members, zone)
}

func topRanked(role string, n int, members *blackboard.Members, zone string) []string {
	var alive, rest []string
	for _, m := range members.ByZone[zone] {
		if m.State == blackboard.MemberAlive {
			alive = append(alive, m.Name)
		} else {
			rest = append(rest, m.Name)
		}
	}
	if len(alive) == 0 {
		alive = rest
	}
	ranked := hasher.Rank(role, alive)
	return ranked[:min(n, len(ranked))]
}

func (g *Gossiper) peerState(t target) *peerState {
	key := t.name
	if key == "" {
		key = t.address.String()
	}
	peer := g.peers[key]
	if peer == nil {
		peer = &peerState{}
		g.peers[key] = peer
	}
	return peer
}

// exchange pushes the local changes to a VM, pulls the changes of that VM and clears the busy flag of the peer.
func (g *Gossiper) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	g.mu.Lock()
	peer := g.peerState(t)
	records, pushedPosition := g.store.changes(g.deltaFilterFor(t.name, t.zone, peer.pushedPosition))
	req := &messenger.ExchangeRequest{
		From:        g.o.Name,
		Records:     records,
		Since:       peer.pulledPosition,
		Incarnation: peer.incarnation,
	}
	g.mu.Unlock()
	var reply messenger.ExchangeReply
	err := g.o.Client.Call(ctx, t.address, messenger.MethodExchange, req, &reply)
	g.mu.Lock()
	if err == nil {
		g.applyReply(peer, &reply, pushedPosition)
	}
	g.finishExchange(t, err)
	g.mu.Unlock()
	g.deliver()
}

func (g *Gossiper) applyReply(peer *peerState, reply *messenger.ExchangeReply, pushedPosition uint64) {
	g.applyRecords(reply.From, reply.Records)
	peer.pushedPosition = pushedPosition
	if peer.incarnation != 0 && peer.incarnation != reply.Incarnation {
		// The peer has restarted and lost the records that were pushed before.
		peer.pushedPosition = 0
	}
	peer.incarnation = reply.Incarnation
	peer.pulledPosition = reply.Position
	g.exchanged = true
	if e := g.member(reply.From); e != nil && zoneOf(e) == g.o.AvailabilityZone {
		g.zonePeerAnswered = true
	}
}

func (g *Gossiper) applyRecords(sender string, records []messenger.Record) {
	now := g.o.Timer.Now()
	for _, r := range records[:min(len(records), maxRecords)] {
		g.applyRecord(r, sender, now)
	}
	g.recordContact(sender, now)
}

func zoneOf(e *entry) string {
	m, _ := e.value.(messenger.MemberRecord)
	return m.AvailabilityZone
}

// finishExchange clears the busy flag of the peer. It evaluates the error of the call: a refused connection means that the
// process has ended, and a broken one that a listed VM may not be an entry VM.
func (g *Gossiper) finishExchange(t target, err error) {
	g.peerState(t).busy = false
	refused := errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case t.name == "":
		if err == nil || refused {
			g.contactedPeers[t.address] = true
		}
	case refused:
		g.handleRefusal(t.name, t.incarnation)
	case t.incarnation == 0 && classifier.CodeOf(err) == classifier.ConnectionReset:
		g.brokenConnections[t.name]++
		g.dirty[messenger.RecordMember] = true
	}
}

func (g *Gossiper) deltaFilterFor(peer, zone string, since uint64) deltaFilter {
	f := deltaFilter{
		peer:            peer,
		since:           since,
		includeFromPeer: since == 0,
		contentOnly:     zone != g.o.AvailabilityZone,
		relays:          map[string]bool{},
	}
	if f.contentOnly {
		members := g.o.Board.Members.Read()
		for zone := range members.ByZone {
			for _, name := range Relays(members, zone) {
				f.relays[name] = true
			}
		}
	}
	return f
}

// RPC returns the receiver of the method Peer.Exchange.
func (g *Gossiper) RPC() any {
	return &exchangeHandler{
		g: g,
	}
}

type exchangeHandler struct {
	g *Gossiper
}

// Exchange applies the sender's changes and returns the changes of this VM. It always returns nil.
func (h *exchangeHandler) Exchange(req *messenger.ExchangeRequest, reply *messenger.ExchangeReply) (err error) {
	defer messenger.RecoverCall(&err)
	h.g.serveExchange(req, reply)
	h.g.deliver()
	return nil
}

func (g *Gossiper) serveExchange(req *messenger.ExchangeRequest, reply *messenger.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyRecords(req.From, req.Records)
	zone := ""
	if e := g.member(req.From); e != nil {
		zone = zoneOf(e)
	}
	since := req.Since
	if req.Incarnation != g.incarnation {
		since = 0
	}
	reply.From = g.o.Name
	reply.Incarnation = g.incarnation
	reply.Records, reply.Position = g.store.changes(g.deltaFilterFor(req.From, zone, since))
}
