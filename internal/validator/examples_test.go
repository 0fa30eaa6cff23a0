package validator_test

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/validator"
)

// Guards against example configurations that are refused, differ from the sizes in section 1.3 of the design, are distributed
// unevenly over the zones, or have a service in a single zone.
func TestExamples(t *testing.T) {
	sizes := map[string]map[string]int{
		"oso-perdido.yaml": {"buscador": 40, "reclamos": 60, "ingesta": 9, "avisos": 4},
		"tafelrond.yaml":   {"boekportaal": 40, "facturatie": 60, "dossierdesk": 5, "zaalbeheer": 3},
	}
	for file, want := range sizes {
		data, err := os.ReadFile(filepath.Join("../../examples", file))
		assert.NilError(t, err)
		set, err := parser.Decode(file, data)
		assert.NilError(t, err)
		assert.Equal(t, len(validator.Check(set, now)), 0, "%v", validator.Check(set, now))
		c := blackboard.NewConfig(1, set)
		got := map[string]int{}
		perZone := map[string]map[string]int{}
		zonesOf := map[string]map[string]bool{}
		for app, servers := range c.ServersByApplication {
			got[app] = len(servers)
			perZone[app] = map[string]int{}
			for _, s := range servers {
				perZone[app][s.AvailabilityZone]++
				if zonesOf[s.Service] == nil {
					zonesOf[s.Service] = map[string]bool{}
				}
				zonesOf[s.Service][s.AvailabilityZone] = true
			}
			counts := slices.Sorted(maps.Values(perZone[app]))
			assert.Assert(t, counts[len(counts)-1]-counts[0] <= 1, "%s: %v", app, perZone[app])
		}
		assert.DeepEqual(t, got, want)
		for service, zones := range zonesOf {
			assert.Assert(t, len(zones) >= 2, service)
		}
	}
}
