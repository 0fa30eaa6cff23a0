package detector_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/detector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// scene is a set of servers in zones.
type scene struct {
	view   *discoverer.View
	shards []string
	out    map[string]bool
	silent map[string]bool
}

func (s *scene) add(shard, zone string, reachable bool) {
	id := fmt.Sprintf("%s-in-%s", shard, zone)
	s.out[id] = !reachable
	s.view.ByService[shard] = append(s.view.ByService[shard], discoverer.Endpoint{
		Server: &discoverer.Server{
			ID:      id,
			Service: shard,
			Zone:    zone,
		},
	})
}

func parse(t *testing.T, words []string) *scene {
	s := &scene{
		view: &discoverer.View{
			Loaded:    true,
			ByService: map[string][]discoverer.Endpoint{},
		},
		out:    map[string]bool{},
		silent: map[string]bool{},
	}
	replicated := words[0] == "replicated"
	for _, w := range words {
		zone, numbers, ok := strings.Cut(w, "=")
		if !ok {
			continue
		}
		var in, all int
		_, err := fmt.Sscanf(numbers, "%d/%d", &in, &all)
		assert.NilError(t, err)
		s.silent[zone] = in == 0
		for i := range all {
			shard := fmt.Sprintf("%s%d", zone, i)
			s.shards = append(s.shards, shard)
			s.add(shard, zone, i < in)
			if replicated && zone != "a" {
				s.add(shard, "a", true)
			}
		}
	}
	return s
}

// Load pattern: a zone is cut off from the others while its callers go on, as in the incidents inc-96d7 and inc-5ccd of oso-perdido.
// Guards against VMs that stay in rotation although none of their searches can be served, and against VMs that leave it because others
// are cut off.
func TestAVMKnowsWhetherItIsCutOff(t *testing.T) {
	data, err := os.ReadFile("testdata/zones.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		before, want, ok := strings.Cut(line, "->")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.TrimSpace(line), func(t *testing.T) {
			s := parse(t, strings.Fields(before))
			table := router.NewTable(router.Config{
				Version: 1,
				Routes: []router.Route{
					{
						Name: "search",
						Destination: router.Fanout{
							Shards:           s.shards,
							MinShardFraction: 0.75,
						},
					},
				},
			})
			f := detector.Detect(s.view, table, func(m discoverer.Endpoint) bool {
				return !s.out[m.ID]
			}, func(zone string) bool {
				return s.silent[zone]
			})
			got := "fine"
			if f.Partitioned {
				got = "cut off from " + strings.Join(f.UnreachableZones, " ")
			}
			assert.Equal(t, got, strings.TrimSpace(want))
		})
	}
}
