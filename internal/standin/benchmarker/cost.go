package benchmarker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	costApplication = "scaled"
	costRoute       = "all"
	// fanoutQueries is the number of measured queries for each fan-out, which fanoutCallers concurrent callers send.
	fanoutQueries = 400
	fanoutCallers = 4
	// controlSettleTime is the wait before the control plane is measured, so that the startup costs are not included.
	controlSettleTime = 8 * time.Second
	// controlDuration is the time for which the idle usage is measured.
	controlDuration = 10 * time.Second
	maxZones        = 7
)

var fanouts = []int{20, 50, 130, 260, 520}

// controlSizes are pairs of a number of VMs and a number of replicas.
var controlSizes = [][2]int{{8, 50}, {8, 1000}, {16, 200}, {32, 200}, {64, 200}}

// scaledSet returns the configuration of an application with one service for each shard, and with backend servers spread evenly
// over the services and over availability zones in two regions.
func scaledSet(zones, shards, replicas int) parser.Set {
	var set parser.Set
	for n := range zones {
		set = append(set, parser.AvailabilityZone{
			Name:   fmt.Sprintf("zone-%d", n),
			Region: fmt.Sprintf("region-%d", n%2),
			State:  parser.ZoneInService,
		})
	}
	set = append(set,
		parser.Policy{
			Name:              "default",
			HedgePercent:      5,
			RetryPercent:      10,
			MoveMaxBadPercent: 2,
			MoveMinAnswers:    100,
		},
		parser.Application{
			Name: costApplication,
			Routes: []parser.Route{
				{
					Name: costRoute,
					Kind: parser.RouteSearch,
				},
			},
			DeadlineDefault: time.Second,
			DeadlineMax:     5 * time.Second,
			Policy:          "default",
		},
		parser.Version{
			Name:        costApplication + "-v1",
			Application: costApplication,
		},
	)
	for n := range shards {
		set = append(set, parser.Service{
			Name:        fmt.Sprintf("%s-%d", costApplication, n),
			Application: costApplication,
			Shard:       n,
		})
	}
	for n := range replicas {
		set = append(set, parser.BackendServer{
			Name:             fmt.Sprintf("%s-%d-%d", costApplication, n%shards, n),
			Service:          fmt.Sprintf("%s-%d", costApplication, n%shards),
			Version:          costApplication + "-v1",
			AvailabilityZone: fmt.Sprintf("zone-%d", n%zones),
			Address:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+n)),
			Slots:            8,
			Connections:      16,
		})
	}
	return set
}

// measureFanout measures the CPU time, allocations and peer traffic of the entry VMs per sub-request. The idle usage of the VMs
// is subtracted.
func (b *benchmark) measureFanout() error {
	for _, n := range fanouts {
		if err := b.measureFanoutCase(n); err != nil {
			return fmt.Errorf("fan-out %d: %w", n, err)
		}
	}
	return nil
}

func (b *benchmark) measureFanoutCase(shards int) error {
	s, err := b.openSession(launcher.Options{
		Set: scaledSet(1, shards, shards),
		VMsPerZone: map[string]int{
			"zone-0": 4,
		},
		InProcess:   true,
		ServiceTime: time.Millisecond,
	}, fanoutCallers, costApplication, costRoute)
	if err != nil {
		return err
	}
	defer s.close()
	idle, err := measureUsage(s.Cluster, controlDuration)
	if err != nil {
		return err
	}
	before, err := s.SumMetrics()
	if err != nil {
		return err
	}
	start := time.Now()
	full := runClosedLoop(s)
	elapsed := time.Since(start)
	after, err := s.SumMetrics()
	if err != nil {
		return err
	}
	delta := difference(before, after)
	subRequests := delta["anvildyke_sub_requests_total"]
	idleRatio := elapsed.Seconds() / controlDuration.Seconds()
	cpu := delta["process_cpu_seconds_total"] - idle["process_cpu_seconds_total"]*idleRatio
	b.addRow("fanout", fmt.Sprintf("%d of %d full", full, fanoutQueries), map[string]float64{
		"FanOut":          float64(shards),
		"MicrosPerSub":    cpu / subRequests * 1e6,
		"MicrosPerQuery":  cpu / fanoutQueries * 1e6,
		"AllocsPerSub":    (delta["go_memstats_mallocs_total"] - idle["go_memstats_mallocs_total"]*idleRatio) / subRequests,
		"BytesPerSub":     (delta["go_memstats_alloc_bytes_total"] - idle["go_memstats_alloc_bytes_total"]*idleRatio) / subRequests,
		"PeerBytesPerSub": (delta["anvildyke_peer_sent_bytes_total"] - idle["anvildyke_peer_sent_bytes_total"]*idleRatio) / subRequests,
	})
	return nil
}

// runClosedLoop sends the measured queries, each caller one at a time, and returns how many were answered in full.
func runClosedLoop(s *session) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	full := 0
	for worker := range fanoutCallers {
		wg.Go(func() {
			for n := range fanoutQueries / fanoutCallers {
				resp, err := s.search(worker+n, launcher.Query{
					Application: costApplication,
					Route:       costRoute,
					Body:        fmt.Sprintf("cost %d %d", worker, n),
					Limit:       hitLimit,
					Deadline:    2 * time.Second,
				})
				if err == nil && resp.Coverage.Fraction >= 1 {
					mu.Lock()
					full++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return full
}

// measureUsage returns how much the metrics, summed over all VMs, increase while no queries are sent for the given duration.
func measureUsage(c *launcher.Cluster, duration time.Duration) (map[string]float64, error) {
	before, err := c.SumMetrics()
	if err != nil {
		return nil, err
	}
	time.Sleep(duration)
	after, err := c.SumMetrics()
	if err != nil {
		return nil, err
	}
	return difference(before, after), nil
}

func difference(before, after map[string]float64) map[string]float64 {
	delta := map[string]float64{}
	for name, v := range after {
		delta[name] = v - before[name]
	}
	return delta
}

// measureControl measures the CPU time, memory and traffic of each VM without queries, for several numbers of VMs and replicas.
func (b *benchmark) measureControl() error {
	for _, size := range controlSizes {
		if err := b.measureControlCase(size[0], size[1]); err != nil {
			return fmt.Errorf("%d VMs, %d replicas: %w", size[0], size[1], err)
		}
	}
	return nil
}

func (b *benchmark) measureControlCase(vms, replicas int) error {
	zones := min(maxZones, vms/2)
	vmsPerZone := map[string]int{}
	for n := range vms {
		vmsPerZone[fmt.Sprintf("zone-%d", n%zones)]++
	}
	c, err := b.startCluster(launcher.Options{
		Set:        scaledSet(zones, max(replicas/3, 1), replicas),
		VMsPerZone: vmsPerZone,
		InProcess:  true,
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	time.Sleep(controlSettleTime)
	return b.measureControlUsage(c, vms, replicas)
}

func (b *benchmark) measureControlUsage(c *launcher.Cluster, vms, replicas int) error {
	var before, after struct {
		Reads          float64
		Watches        float64
		WaitingWatches float64
	}
	if err := c.Counters(c.PlatformAddress, &before); err != nil {
		return err
	}
	delta, err := measureUsage(c, controlDuration)
	if err != nil {
		return err
	}
	if err := c.Counters(c.PlatformAddress, &after); err != nil {
		return err
	}
	sums, err := c.SumMetrics()
	if err != nil {
		return err
	}
	perVM := float64(vms)
	perSecond := perVM * controlDuration.Seconds()
	const kilo, mega = 1e3, 1e6
	b.addRow("control", "idle", map[string]float64{
		"VMs":                    perVM,
		"Replicas":               float64(replicas),
		"CorePercent":            100 * delta["process_cpu_seconds_total"] / perSecond,
		"MemoryMB":               sums["process_resident_memory_bytes"] / perVM / mega,
		"HeapMB":                 sums["go_memstats_heap_inuse_bytes"] / perVM / mega,
		"SentKBPerSecond":        delta["anvildyke_peer_sent_bytes_total"] / perSecond / kilo,
		"ReceivedKBPerSecond":    delta["anvildyke_peer_received_bytes_total"] / perSecond / kilo,
		"PlatformReadsPerSecond": (after.Reads + after.Watches - before.Reads - before.Watches) / controlDuration.Seconds(),
		"PlatformWatches":        after.WaitingWatches,
	})
	return nil
}
