package messenger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against records of other VMs that make the process panic, and against records that change when they are encoded again.
func FuzzDecodePayload(f *testing.F) {
	for _, v := range []any{
		&MemberRecord{
			AvailabilityZone: "capital-a",
		},
		&ReplicaRecord{},
		&ConfigHeadRecord{},
		&VersionStatsRecord{},
		&MoveOutcomeRecord{},
		&CrashRecord{},
		&VMRecord{},
	} {
		payload, err := EncodePayload(v)
		assert.NilError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		for _, v := range []any{&MemberRecord{}, &ReplicaRecord{}, &ConfigHeadRecord{}, &VersionStatsRecord{}, &MoveOutcomeRecord{}, &CrashRecord{}, &VMRecord{}} {
			if DecodePayload(payload, v) != nil {
				continue
			}
			_, err := EncodePayload(v)
			assert.NilError(t, err)
		}
	})
}
