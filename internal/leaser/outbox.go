package leaser

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// message is a call to another VM of the zone.
type message struct {
	to string
	// incarnation is that of the receiver as far as it is known when the message is created, or 0.
	incarnation uint64
	sentAt      time.Time
	// heartbeat or release is set.
	heartbeat *messenger.HeartbeatRequest
	release   *messenger.ReleaseRequest
}

type boxKey struct {
	to   string
	kind messenger.ReleaseKind
}

// outbox collects one message per receiver and kind.
type outbox struct {
	state    *state
	members  *blackboard.Members
	now      time.Time
	messages []message
	byKey    map[boxKey]int
}

func (o *outbox) open(to string, kind messenger.ReleaseKind) (*message, bool) {
	k := boxKey{
		to:   to,
		kind: kind,
	}
	i, ok := o.byKey[k]
	if !ok {
		i = len(o.messages)
		o.byKey[k] = i
		o.messages = append(o.messages, message{
			to:          to,
			incarnation: max(o.members.ByName[to].Incarnation, o.state.seen[to]),
			sentAt:      o.now,
		})
	}
	return &o.messages[i], !ok
}

func (o *outbox) heartbeat(to string, incarnation uint64, replica string, term uint64) {
	m, fresh := o.open(to, 0)
	if fresh {
		m.incarnation = incarnation
		m.heartbeat = &messenger.HeartbeatRequest{
			From:        o.state.self,
			Incarnation: o.state.incarnation,
			To:          incarnation,
		}
	}
	m.heartbeat.Replicas = append(m.heartbeat.Replicas, replica)
	m.heartbeat.Terms = append(m.heartbeat.Terms, term)
}

func (o *outbox) release(kind messenger.ReleaseKind, to, replica string, term uint64) {
	m, fresh := o.open(to, kind)
	if fresh {
		m.release = &messenger.ReleaseRequest{
			From:        o.state.self,
			Kind:        kind,
			Incarnation: o.state.incarnation,
		}
	}
	m.release.Replicas = append(m.release.Replicas, replica)
	m.release.Terms = append(m.release.Terms, term)
}
