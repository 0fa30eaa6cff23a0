package leaser

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// Time limits of the simulated gossip.
const (
	simGossip  = 500 * time.Millisecond
	simSuspect = 1500 * time.Millisecond
	simDrop    = 3 * time.Second
)

// network runs several states on one virtual clock and checks the shares after every event.
type network struct {
	now    time.Time
	rng    *rand.Rand
	limits map[string]int
	// vms holds the latest process of each VM.
	vms  map[string]*vm
	cuts map[[2]string]bool
	// listed is the platform's list.
	listed map[string]bool
	// events are ordered by time, those at the same time by their creation.
	events []event
	// slow is the chance in percent that a message is delayed by up to 3 s; busy the chance that sub-requests run.
	slow  int
	busy  int
	fault string
	trace []string
}

type event struct {
	at  time.Time
	run func()
}

type vm struct {
	name     string
	state    *state
	alive    bool
	silent   bool
	ready    bool
	paused   bool
	waiting  []func()
	known    map[string]news
	holdings map[string]blackboard.Lease
}

type news struct {
	incarnation uint64
	gone        bool
	at          time.Time
}

func newNetwork(seed uint64, limits map[string]int) *network {
	return &network{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		limits: limits,
		vms:    map[string]*vm{},
		cuts:   map[[2]string]bool{},
		listed: map[string]bool{},
	}
}

func (n *network) note(format string, args ...any) {
	n.trace = append(n.trace, n.now.Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (n *network) after(d time.Duration, f func()) {
	at := n.now.Add(d)
	i := len(n.events)
	for i > 0 && n.events[i-1].at.After(at) {
		i--
	}
	n.events = slices.Insert(n.events, i, event{
		at:  at,
		run: f,
	})
}

// advance runs all events of the next d and returns early when the invariant breaks.
func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for n.fault == "" && len(n.events) > 0 && !n.events[0].at.After(end) {
		e := n.events[0]
		n.events = n.events[1:]
		n.now = e.at
		e.run()
		n.check()
	}
	n.now = end
	n.check()
}

func (n *network) share(name, replica string) int {
	v := n.vms[name]
	if v == nil || !v.alive {
		return 0
	}
	return v.holdings[replica].ShareAt(n.now).Of(n.limits[replica])
}

func (n *network) check() {
	for replica, limit := range n.limits {
		sum := 0
		for name := range n.vms {
			sum += n.share(name, replica)
		}
		if sum > limit && n.fault == "" {
			n.fault = fmt.Sprintf("%s: the shares of %s add up to %d, the limit is %d\n%s",
				n.now.Format("04:05.000"), replica, sum, limit, n.describe(replica))
		}
	}
}

// describe lists the rights of all VMs.
func (n *network) describe(replica string) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(n.vms)) {
		v := n.vms[name]
		text += fmt.Sprintf("%s %d share=%d known=%v gone=%v %+v\n",
			name, v.state.incarnation, n.share(name, replica), v.known, v.state.gone, v.state.rights[replica])
	}
	return text
}

// start starts a new process of the VM. The platform's list tells it the names of all others.
func (n *network) start(name string) {
	n.note("start %s", name)
	v := &vm{
		name:  name,
		alive: true,
		state: newState(name, "zone", uint64(n.now.UnixMicro())),
		known: map[string]news{},
	}
	for other := range n.listed {
		v.known[other] = news{}
	}
	n.listed[name] = true
	for _, other := range n.vms {
		if other.known[name].incarnation == 0 {
			other.known[name] = news{}
		}
	}
	n.vms[name] = v
	n.loop(v)
	n.gossip(v)
}

// kill ends the process. Unless silent, its address refuses connections from now on; else the platform drops it later.
func (n *network) kill(name string, silent bool) {
	n.note("kill %s silent=%v", name, silent)
	v := n.vms[name]
	v.alive = false
	v.silent = silent
	n.unlist(v)
}

// unlist lets the platform drop the VM after a while, unless it has been started again.
func (n *network) unlist(v *vm) {
	name, incarnation := v.name, v.state.incarnation
	n.after(simDrop, func() {
		if n.vms[name] == v {
			delete(n.listed, name)
		}
		if !v.silent {
			return
		}
		for _, other := range n.vms {
			if k := other.known[name]; k.incarnation <= incarnation {
				other.known[name] = news{
					incarnation: incarnation,
					gone:        true,
				}
			}
		}
		if n.vms[name] == v {
			v.silent = false
		}
	})
}

func (n *network) pause(name string, d time.Duration) {
	n.note("pause %s %v", name, d)
	v := n.vms[name]
	v.paused = true
	n.after(d, func() {
		v.paused = false
		waiting := v.waiting
		v.waiting = nil
		for _, f := range waiting {
			f()
		}
	})
}

func (n *network) leave(name string) {
	n.note("leave %s", name)
	v := n.vms[name]
	partners := v.state.leave()
	n.write(v)
	for _, to := range partners {
		n.send(v, message{
			to:     to,
			sentAt: n.now,
			release: &messenger.ReleaseRequest{
				From:        name,
				Kind:        messenger.ReleaseShutdown,
				Incarnation: v.state.incarnation,
			},
		})
	}
	n.after(2*time.Second, func() {
		v.alive = false
		n.unlist(v)
	})
}

func (n *network) cut(a, b string, is bool) {
	n.note("cut %s %s %v", a, b, is)
	n.cuts[[2]string{min(a, b), max(a, b)}] = is
}

func (n *network) isCut(a, b string) bool {
	return n.cuts[[2]string{min(a, b), max(a, b)}]
}

// on runs f as part of the process v, after its pause if it is paused.
func (n *network) on(v *vm, f func()) {
	if v.paused {
		v.waiting = append(v.waiting, func() {
			n.on(v, f)
		})
		return
	}
	if v.alive {
		f()
		n.write(v)
	}
}

func (n *network) write(v *vm) {
	v.holdings = v.state.holdings(n.view(v), &blackboard.Replicas{})
}

func (n *network) loop(v *vm) {
	n.on(v, func() {
		for _, m := range v.state.step(n.view(v), n.now) {
			n.send(v, m)
		}
	})
	if v.alive {
		n.after(EvaluationPeriod, func() {
			n.loop(v)
		})
	}
}

func (n *network) view(v *vm) view {
	members := &blackboard.Members{
		Self:   v.name,
		ByName: map[string]blackboard.Member{},
	}
	for name, k := range v.known {
		m := blackboard.Member{
			Name:             name,
			AvailabilityZone: "zone",
			Incarnation:      k.incarnation,
			State:            blackboard.MemberAlive,
			Listed:           n.listed[name],
		}
		switch {
		case k.gone:
			m.State = blackboard.MemberGone
		case n.now.Sub(k.at) > simSuspect:
			m.State = blackboard.MemberSuspect
		}
		members.ByName[name] = m
	}
	return view{
		members: members,
		servers: slices.Sorted(maps.Keys(n.limits)),
		ready:   v.ready,
		busy: func(string) bool {
			return n.rng.IntN(100) < n.busy
		},
	}
}

func (n *network) delay() time.Duration {
	if n.rng.IntN(100) < n.slow {
		return time.Duration(n.rng.IntN(3000)) * time.Millisecond
	}
	return time.Duration(1+n.rng.IntN(20)) * time.Millisecond
}

func (n *network) send(from *vm, m message) {
	n.after(n.delay(), func() {
		if n.isCut(from.name, m.to) {
			return
		}
		to := n.vms[m.to]
		if !to.alive {
			if !to.silent {
				n.after(n.delay(), func() {
					n.on(from, func() {
						from.state.refused(m, n.now)
						k := from.known[m.to]
						from.known[m.to] = news{
							incarnation: k.incarnation,
							gone:        k.gone || k.incarnation == m.incarnation,
							at:          k.at,
						}
					})
				})
			}
			return
		}
		n.on(to, func() {
			n.deliver(from, to, m)
		})
	})
}

func (n *network) hear(v, from *vm) {
	if k := v.known[from.name]; k.incarnation < from.state.incarnation || !k.gone && k.incarnation == from.state.incarnation {
		v.known[from.name] = news{
			incarnation: from.state.incarnation,
			at:          n.now,
		}
	}
}

func (n *network) deliver(from, to *vm, m message) {
	n.hear(to, from)
	view := n.view(to)
	var reply func()
	if m.heartbeat != nil {
		r := to.state.heartbeat(view, m.heartbeat, n.now)
		reply = func() {
			from.state.heartbeatReplied(m, r)
		}
	} else {
		r := to.state.release(view, m.release, n.now)
		reply = func() {
			from.state.releaseReplied(n.view(from), m, r, n.now)
		}
	}
	n.after(n.delay(), func() {
		if n.isCut(from.name, to.name) || n.now.Sub(m.sentAt) > CallTimeout {
			return
		}
		n.on(from, func() {
			n.hear(from, to)
			reply()
		})
	})
}

// gossip merges the knowledge of a VM with that of a random other one.
func (n *network) gossip(v *vm) {
	n.on(v, func() {
		var others []*vm
		for name, o := range n.vms {
			if name == v.name || n.isCut(name, v.name) {
				continue
			}
			if o.alive && !o.paused {
				others = append(others, o)
			}
			if k := v.known[name]; !o.alive && !o.silent {
				// The address refuses the connection of the exchange.
				k.gone = true
				v.known[name] = k
			}
		}
		slices.SortFunc(others, func(a, b *vm) int {
			return cmp.Compare(a.name, b.name)
		})
		alone := true
		for _, k := range v.known {
			alone = alone && k.gone
		}
		if len(others) > 0 {
			o := others[n.rng.IntN(len(others))]
			n.hear(o, v)
			n.hear(v, o)
			merge(v, o)
			merge(o, v)
			v.ready = true
		}
		v.ready = v.ready || alone
	})
	if v.alive {
		n.after(simGossip, func() {
			n.gossip(v)
		})
	}
}

func merge(to, from *vm) {
	for name, k := range from.known {
		have, known := to.known[name]
		if name != to.name && (!known || k.incarnation > have.incarnation || k.incarnation == have.incarnation && k.gone) {
			to.known[name] = k
		}
	}
}
