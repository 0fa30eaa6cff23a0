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

// Periods and timeouts of the simulated gossip and of the platform's list.
const (
	simGossipPeriod   = 500 * time.Millisecond
	simSuspectTimeout = 1500 * time.Millisecond
	simUnlistDelay    = 3 * time.Second
)

// network simulates several VMs on one virtual clock and checks after every event that the shares do not exceed the limits.
type network struct {
	now    time.Time
	rng    *rand.Rand
	limits map[string]int
	// vms contains the latest process of each VM.
	vms  map[string]*vm
	cuts map[link]bool
	// listed are the VMs that the platform lists.
	listed map[string]bool
	// events are ordered by time; events of the same time are in the order of their creation.
	events []event
	// delayPercent is the probability that a message is delayed by up to 3 s, busyPercent the one that sub-requests run.
	delayPercent int
	busyPercent  int
	violation    string
	trace        []string
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
	deferred []func()
	known    map[string]memberInfo
	leases   map[string]blackboard.Lease
}

type memberInfo struct {
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
		cuts:   map[link]bool{},
		listed: map[string]bool{},
	}
}

func (n *network) log(format string, args ...any) {
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

// advance runs all events of the next d, and stops early when the shares exceed a limit.
func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for n.violation == "" && len(n.events) > 0 && !n.events[0].at.After(end) {
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
	return v.leases[replica].ShareAt(n.now).Of(n.limits[replica])
}

func (n *network) check() {
	for replica, limit := range n.limits {
		sum := 0
		for name := range n.vms {
			sum += n.share(name, replica)
		}
		if sum > limit && n.violation == "" {
			n.violation = fmt.Sprintf("%s: the shares of %s add up to %d, the limit is %d\n%s",
				n.now.Format("04:05.000"), replica, sum, limit, n.describe(replica))
		}
	}
}

// describe lists the states of all VMs for a replica.
func (n *network) describe(replica string) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(n.vms)) {
		v := n.vms[name]
		text += fmt.Sprintf("%s %d share=%d known=%v gone=%v %+v\n",
			name, v.state.incarnation, n.share(name, replica), v.known, v.state.gone, v.state.replicas[replica])
	}
	return text
}

// start starts a new process of the VM, which reads the names of the other VMs from the platform's list.
func (n *network) start(name string) {
	n.log("start %s", name)
	v := &vm{
		name:  name,
		alive: true,
		state: newState(name, "zone", uint64(n.now.UnixMicro())),
		known: map[string]memberInfo{},
	}
	for other := range n.listed {
		v.known[other] = memberInfo{}
	}
	n.listed[name] = true
	for _, other := range n.vms {
		if other.known[name].incarnation == 0 {
			other.known[name] = memberInfo{}
		}
	}
	n.vms[name] = v
	n.loop(v)
	n.gossip(v)
}

// kill ends the process. Its address refuses connections from now on, unless silent: then messages to it get no answer until
// the platform has removed it from the list.
func (n *network) kill(name string, silent bool) {
	n.log("kill %s silent=%v", name, silent)
	v := n.vms[name]
	v.alive = false
	v.silent = silent
	n.unlist(v)
}

// unlist makes the platform remove the VM from its list after simUnlistDelay, unless the VM has been started again. The other VMs
// then consider a silent process gone.
func (n *network) unlist(v *vm) {
	name, incarnation := v.name, v.state.incarnation
	n.after(simUnlistDelay, func() {
		if n.vms[name] == v {
			delete(n.listed, name)
		}
		if !v.silent {
			return
		}
		for _, other := range n.vms {
			if k := other.known[name]; k.incarnation <= incarnation {
				other.known[name] = memberInfo{
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
	n.log("pause %s %v", name, d)
	v := n.vms[name]
	v.paused = true
	n.after(d, func() {
		v.paused = false
		waiting := v.deferred
		v.deferred = nil
		for _, f := range waiting {
			f()
		}
	})
}

func (n *network) shutDown(name string) {
	n.log("leave %s", name)
	v := n.vms[name]
	peers := v.state.releaseAll()
	n.write(v)
	for _, to := range peers {
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

func (n *network) cut(a, b string, blocked bool) {
	n.log("cut %s %s %v", a, b, blocked)
	n.cuts[newLink(a, b)] = blocked
}

func (n *network) isCut(a, b string) bool {
	return n.cuts[newLink(a, b)]
}

// runOn runs f in the process v, after its pause if it is paused. It does nothing if the process has ended.
func (n *network) runOn(v *vm, f func()) {
	if v.paused {
		v.deferred = append(v.deferred, func() {
			n.runOn(v, f)
		})
		return
	}
	if v.alive {
		f()
		n.write(v)
	}
}

func (n *network) write(v *vm) {
	v.leases = v.state.leases(n.view(v), &blackboard.Replicas{})
}

func (n *network) loop(v *vm) {
	n.runOn(v, func() {
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
		case n.now.Sub(k.at) > simSuspectTimeout:
			m.State = blackboard.MemberSuspect
		}
		members.ByName[name] = m
	}
	return view{
		members:  members,
		replicas: slices.Sorted(maps.Keys(n.limits)),
		ready:    v.ready,
		busy: func(string) bool {
			return n.rng.IntN(100) < n.busyPercent
		},
	}
}

func (n *network) delay() time.Duration {
	if n.rng.IntN(100) < n.delayPercent {
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
					n.runOn(from, func() {
						from.state.handleRefusal(m, n.now)
						k := from.known[m.to]
						from.known[m.to] = memberInfo{
							incarnation: k.incarnation,
							gone:        k.gone || k.incarnation == m.incarnation,
							at:          k.at,
						}
					})
				})
			}
			return
		}
		n.runOn(to, func() {
			n.deliver(from, to, m)
		})
	})
}

func (n *network) recordContact(v, from *vm) {
	if k := v.known[from.name]; k.incarnation < from.state.incarnation || !k.gone && k.incarnation == from.state.incarnation {
		v.known[from.name] = memberInfo{
			incarnation: from.state.incarnation,
			at:          n.now,
		}
	}
}

func (n *network) deliver(from, to *vm, m message) {
	n.recordContact(to, from)
	view := n.view(to)
	var reply func()
	if m.heartbeat != nil {
		r := to.state.handleHeartbeat(view, m.heartbeat, n.now)
		reply = func() {
			from.state.handleHeartbeatReply(m, r)
		}
	} else {
		r := to.state.handleRelease(view, m.release, n.now)
		reply = func() {
			from.state.handleReleaseReply(n.view(from), m, r, n.now)
		}
	}
	n.after(n.delay(), func() {
		if n.isCut(from.name, to.name) || n.now.Sub(m.sentAt) > CallTimeout {
			return
		}
		n.runOn(from, func() {
			n.recordContact(from, to)
			reply()
		})
	})
}

// gossip exchanges membership information between a VM and a random other one.
func (n *network) gossip(v *vm) {
	n.runOn(v, func() {
		var others []*vm
		for name, o := range n.vms {
			if name == v.name || n.isCut(name, v.name) {
				continue
			}
			if o.alive && !o.paused {
				others = append(others, o)
			}
			if k := v.known[name]; !o.alive && !o.silent {
				// The address refuses the connection for the exchange.
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
			n.recordContact(o, v)
			n.recordContact(v, o)
			merge(v, o)
			merge(o, v)
			v.ready = true
		}
		v.ready = v.ready || alone
	})
	if v.alive {
		n.after(simGossipPeriod, func() {
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

// link identifies the connection between two VMs.
type link struct{ low, high string }

func newLink(a, b string) link {
	return link{
		low:  min(a, b),
		high: max(a, b),
	}
}
