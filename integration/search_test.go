package integration_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that differ from the index when nothing fails.
func TestHealthyDeploymentAnswersInFull(t *testing.T) {
	t.Parallel()
	d := deploy(t, small())
	for range 20 {
		for _, v := range d.VMs() {
			q := d.query()
			a, err := d.caller.Search(v, q)
			assert.NilError(t, err)
			assert.NilError(t, checkAnswer(q, a))
			assert.Equal(t, a.Coverage.Fraction, 1.0)
			assert.Equal(t, a.Snapshot, uint64(firstSnapshot))
		}
	}
}
