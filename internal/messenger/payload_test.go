package messenger

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/connector"
)

// Guards against payloads that lose a field, and against equal values whose payloads depend on the process that encoded them: the
// gossiper would propagate such payloads as changes again and again.
func TestPayloadsAreCanonical(t *testing.T) {
	member := MemberRecord{
		AvailabilityZone: "litoral-a",
		Address:          netip.MustParseAddrPort("10.1.2.3:7400"),
		State:            blackboard.MemberAlive,
		Generation:       7,
	}
	var m MemberRecord
	roundTrip(t, member, &m)
	assert.Equal(t, m, member)

	replica := ReplicaRecord{
		State:     blackboard.ReplicaCold,
		Allowance: 2,
		Held: []connector.HeldSnapshot{
			{
				Snapshot: 7,
				Shard:    1,
				Of:       20,
			},
		},
		Incarnation: "12-34",
	}
	var r ReplicaRecord
	roundTrip(t, replica, &r)
	assert.DeepEqual(t, r, replica)

	stats := VersionStatsRecord{
		Route:      "lost",
		Answers:    3,
		LatencySum: 5 * time.Millisecond,
	}
	var s VersionStatsRecord
	roundTrip(t, stats, &s)
	assert.DeepEqual(t, s, stats)

	// The bytes must not depend on what the process encoded before.
	payload, err := EncodePayload(VMRecord{
		Listed: true,
	})
	assert.NilError(t, err)
	assert.Equal(t, string(payload), "\x82\xa7Leaving\xc2\xa6Listed\xc3")
}

func roundTrip(t *testing.T, v, out any) {
	t.Helper()
	payload, err := EncodePayload(v)
	assert.NilError(t, err)
	assert.NilError(t, DecodePayload(payload, out))
}
