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

// topology is a set of servers in zones with their reachability from the VM under test.
type topology struct {
	view               *discoverer.View
	shards             []string
	unreachableServers map[string]bool
	unreachableZones   map[string]bool
}

func (topo *topology) add(shard, zone string, reachable bool) {
	id := fmt.Sprintf("%s-in-%s", shard, zone)
	topo.unreachableServers[id] = !reachable
	topo.view.ByService[shard] = append(topo.view.ByService[shard], discoverer.Endpoint{
		Server: &discoverer.Server{
			ID:      id,
			Service: shard,
			Zone:    zone,
		},
	})
}

func parseTopology(t *testing.T, words []string) *topology {
	topo := &topology{
		view: &discoverer.View{
			Loaded:    true,
			ByService: map[string][]discoverer.Endpoint{},
		},
		unreachableServers: map[string]bool{},
		unreachableZones:   map[string]bool{},
	}
	replicated := words[0] == "replicated"
	for _, w := range words {
		zone, numbers, ok := strings.Cut(w, "=")
		if !ok {
			continue
		}
		var reachable, listed int
		_, err := fmt.Sscanf(numbers, "%d/%d", &reachable, &listed)
		assert.NilError(t, err)
		topo.unreachableZones[zone] = reachable == 0
		for i := range listed {
			shard := fmt.Sprintf("%s%d", zone, i)
			topo.shards = append(topo.shards, shard)
			topo.add(shard, zone, i < reachable)
			if replicated && zone != "a" {
				topo.add(shard, "a", true)
			}
		}
	}
	return topo
}

// A zone is partitioned from the others and continues to receive requests. Guards against VMs that stay in rotation although they
// cannot serve any search, and against VMs that leave the rotation because other VMs are partitioned.
func TestDetectPartition(t *testing.T) {
	data, err := os.ReadFile("testdata/zones.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		setup, want, ok := strings.Cut(line, "->")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.TrimSpace(line), func(t *testing.T) {
			s := parseTopology(t, strings.Fields(setup))
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
			result := detector.Detect(s.view, table, func(e discoverer.Endpoint) bool {
				return !s.unreachableServers[e.ID]
			}, func(zone string) bool {
				return s.unreachableZones[zone]
			})
			got := "ok"
			if result.Partitioned {
				got = "partitioned from " + strings.Join(result.UnreachableZones, " ")
			}
			assert.Equal(t, got, strings.TrimSpace(want))
		})
	}
}
