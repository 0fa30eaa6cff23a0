package leaser

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// message is a request to another VM of the zone.
type message struct {
	to string
	// incarnation is the latest known incarnation of the receiver when the message is created, or 0 if none is known.
	incarnation uint64
	sentAt      time.Time
	// Exactly one of heartbeat and release is not nil.
	heartbeat *messenger.HeartbeatRequest
	release   *messenger.ReleaseRequest
}

// outboxKey identifies a message of an outbox. Its kind is 0 for heartbeats.
type outboxKey struct {
	to   string
	kind messenger.ReleaseKind
}

// outbox combines the requests of one step into one message per receiver and kind.
type outbox struct {
	state    *state
	members  *blackboard.Members
	now      time.Time
	messages []message
	byKey    map[outboxKey]int
}

// messageFor returns the message for a receiver and kind, and whether it has just been created.
func (o *outbox) messageFor(to string, kind messenger.ReleaseKind) (*message, bool) {
	k := outboxKey{
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
	m, fresh := o.messageFor(to, 0)
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
	m, fresh := o.messageFor(to, kind)
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
