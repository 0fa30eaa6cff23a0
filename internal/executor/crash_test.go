package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
)

// Thousands of other requests run at crashes after one has crashed two servers. Guards against a table whose limit lets that one go
// (issue 43).
func TestQuarantinedFingerprintOutlastsOthers(t *testing.T) {
	const quarantined = 1
	table := crashTable{
		counts: map[uint64]*crashCount{},
	}
	now := time.Unix(1000, 0)
	for range blackboard.CrashLimit {
		table.add(quarantined, now, 0)
	}
	for n := range uint64(MaxCrashFingerprints + 10) {
		now = now.Add(time.Millisecond)
		table.add(10+n, now, 0)
	}
	assert.Equal(t, len(table.counts), MaxCrashFingerprints)
	crashes, _ := table.lookup(quarantined, now)
	assert.Equal(t, crashes, blackboard.CrashLimit)
}
