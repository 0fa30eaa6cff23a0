package integration_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that differ from the index in a deployment without faults.
func TestHealthyDeploymentAnswersInFull(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	for range 20 {
		for _, v := range d.VMs() {
			q := d.query()
			resp, err := d.caller.Search(v, q)
			assert.NilError(t, err)
			assert.NilError(t, checkResponse(q, resp))
			assert.Equal(t, resp.Coverage.Fraction, 1.0)
			assert.Equal(t, resp.Snapshot, uint64(firstSnapshot))
		}
	}
}
