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

func (g *Gossiper) round(ctx context.Context, wg *sync.WaitGroup) {
	g.mu.Lock()
	targets := g.pickTargets(g.o.Timer.Now())
	g.mu.Unlock()
	for _, t := range targets {
		wg.Go(func() {
			g.exchange(ctx, t)
		})
	}
}

// pickTargets chooses the partners of a round and marks their links as busy.
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
	if !g.exchanged || now.Sub(g.started)%ReconnectPeriod < ExchangePeriod {
		targets = append(targets, g.pickLost(members)...)
	}
	return slices.DeleteFunc(targets, func(t target) bool {
		l := g.link(t)
		if l.busy {
			return true
		}
		l.busy = true
		return false
	})
}

// pickPartners returns Fanout VMs of the own zone. Those without news are chosen only for want of others and are not kept.
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
	if now.Sub(g.partnerTime) >= PartnerRotationPeriod && len(g.partners) > 0 {
		g.partners = g.partners[1:]
		g.partnerTime = now
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

// pickLost returns the configured peers at whose address no member is known to live, and one member that is Suspect or Gone.
func (g *Gossiper) pickLost(members *blackboard.Members) []target {
	known := map[netip.AddrPort]bool{
		g.o.Address: true,
	}
	var lost []target
	var silent []target
	for _, m := range members.ByName {
		if m.State != blackboard.MemberGone {
			known[m.Address] = true
		}
		if m.State != blackboard.MemberAlive && m.Name != g.o.Name {
			silent = append(silent, targetOf(m))
		}
	}
	for _, p := range g.o.Peers {
		if !known[p] {
			lost = append(lost, target{
				address: p,
			})
		}
	}
	if len(silent) > 0 {
		lost = append(lost, silent[rand.IntN(len(silent))])
	}
	return lost
}

func targetOf(m blackboard.Member) target {
	return target{
		name:        m.Name,
		zone:        m.AvailabilityZone,
		address:     m.Address,
		incarnation: m.Incarnation,
	}
}

// Relays returns the VMs of a zone that exchange with other zones. Members without news are passed over if possible.
func Relays(members *blackboard.Members, zone string) []string {
	return top("relay", RelaysPerZone, members, zone)
}

// Watchers returns the VMs of a zone that watch the platform.
func Watchers(members *blackboard.Members, zone string) []string {
	return top("watcher", WatchersPerZone, members, zone)
}

func top(key string, n int, members *blackboard.Members, zone string) []string {
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
	ranked := hasher.Rank(key, alive)
	return ranked[:min(n, len(ranked))]
}

func (g *Gossiper) link(t target) *link {
	key := t.name
	if key == "" {
		key = t.address.String()
	}
	l := g.links[key]
	if l == nil {
		l = &link{}
		g.links[key] = l
	}
	return l
}

// exchange pushes and pulls what has changed and frees the link.
func (g *Gossiper) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	g.mu.Lock()
	l := g.link(t)
	records, pushed := g.store.changes(g.scopeFor(t.name, t.zone, l.pushed))
	req := &messenger.ExchangeRequest{
		From:        g.o.Name,
		Records:     records,
		Since:       l.pulled,
		Incarnation: l.incarnation,
	}
	g.mu.Unlock()
	var reply messenger.ExchangeReply
	err := g.o.Client.Call(ctx, t.address, messenger.MethodExchange, req, &reply)
	g.mu.Lock()
	if err == nil {
		g.takeReply(l, &reply, pushed)
	}
	g.finish(t, err)
	g.mu.Unlock()
	g.deliver()
}

func (g *Gossiper) takeReply(l *link, reply *messenger.ExchangeReply, pushed uint64) {
	g.take(reply.From, reply.Records)
	l.pushed = pushed
	if l.incarnation != 0 && l.incarnation != reply.Incarnation {
		// The peer has restarted and lost what was pushed before.
		l.pushed = 0
	}
	l.incarnation = reply.Incarnation
	l.pulled = reply.Position
	g.exchanged = true
	if e := g.member(reply.From); e != nil && zoneOf(e) == g.o.AvailabilityZone {
		g.inZone = true
	}
}

func (g *Gossiper) take(from string, records []messenger.Record) {
	now := g.o.Timer.Now()
	for _, r := range records[:min(len(records), maxRecords)] {
		g.accept(r, from, now)
	}
	g.hear(from, now)
}

func zoneOf(e *entry) string {
	m, _ := e.value.(messenger.MemberRecord)
	return m.AvailabilityZone
}

// finish frees the link and draws conclusions from the error of the call.
func (g *Gossiper) finish(t target, err error) {
	g.link(t).busy = false
	refused := errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case t.name == "":
		if err == nil || refused {
			g.tried[t.address] = true
		}
	case refused:
		g.refused(t.name, t.incarnation)
	case t.incarnation == 0 && classifier.CodeOf(err) == classifier.ConnectionReset:
		g.strange[t.name]++
		g.dirty[messenger.RecordMember] = true
	}
}

func (g *Gossiper) scopeFor(peer, zone string, since uint64) scope {
	c := scope{
		peer:    peer,
		since:   since,
		full:    since == 0,
		content: zone != g.o.AvailabilityZone,
		relays:  map[string]bool{},
	}
	if c.content {
		members := g.o.Board.Members.Read()
		for zone := range members.ByZone {
			for _, name := range Relays(members, zone) {
				c.relays[name] = true
			}
		}
	}
	return c
}

// RPC returns the receiver of the method Peer.Exchange.
func (g *Gossiper) RPC() any {
	return &exchanger{
		g: g,
	}
}

type exchanger struct {
	g *Gossiper
}

// Exchange takes the sender's changes and returns those of this VM.
func (x *exchanger) Exchange(req *messenger.ExchangeRequest, reply *messenger.ExchangeReply) error {
	x.g.answer(req, reply)
	x.g.deliver()
	return nil
}

func (g *Gossiper) answer(req *messenger.ExchangeRequest, reply *messenger.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.take(req.From, req.Records)
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
	reply.Records, reply.Position = g.store.changes(g.scopeFor(req.From, zone, since))
}
