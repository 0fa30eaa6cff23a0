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
	// fanoutQueries is the number of measured queries of each fan-out, sent by fanoutCallers at a time.
	fanoutQueries = 400
	fanoutCallers = 4
	// controlSettle passes before control is measured, so that the start is over.
	controlSettle = 8 * time.Second
	controlLength = 10 * time.Second
	maxZones      = 7
)

var fanouts = []int{20, 50, 130, 260, 520}

// controlSizes are numbers of VMs and replicas.
var controlSizes = [][2]int{{8, 50}, {8, 1000}, {16, 200}, {32, 200}, {64, 200}}

// scaledSet returns an application with shards services and replicas backend servers over zones of two regions.
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

// fanout measures the processor time, allocations and bytes of the entry VMs for each sub-request.
func (m *measurement) fanout() error {
	for _, n := range fanouts {
		if err := m.fanoutOf(n); err != nil {
			return fmt.Errorf("fan-out %d: %w", n, err)
		}
	}
	return nil
}

func (m *measurement) fanoutOf(shards int) error {
	s, err := m.open(launcher.Options{
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
	idle, err := usage(s.Cluster, controlLength)
	if err != nil {
		return err
	}
	before, err := s.SumMetrics()
	if err != nil {
		return err
	}
	start := time.Now()
	full := closedLoop(s)
	took := time.Since(start)
	after, err := s.SumMetrics()
	if err != nil {
		return err
	}
	d := difference(before, after)
	subs := d["anvildyke_sub_requests_total"]
	control := took.Seconds() / controlLength.Seconds()
	cpu := d["process_cpu_seconds_total"] - idle["process_cpu_seconds_total"]*control
	m.add("fanout", fmt.Sprintf("%d of %d full", full, fanoutQueries), map[string]float64{
		"FanOut":          float64(shards),
		"MicrosPerSub":    cpu / subs * 1e6,
		"MicrosPerQuery":  cpu / fanoutQueries * 1e6,
		"AllocsPerSub":    (d["go_memstats_mallocs_total"] - idle["go_memstats_mallocs_total"]*control) / subs,
		"BytesPerSub":     (d["go_memstats_alloc_bytes_total"] - idle["go_memstats_alloc_bytes_total"]*control) / subs,
		"PeerBytesPerSub": (d["anvildyke_peer_sent_bytes_total"] - idle["anvildyke_peer_sent_bytes_total"]*control) / subs,
	})
	return nil
}

// closedLoop sends the measured queries and returns how many were answered in full.
func closedLoop(s *session) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	full := 0
	for worker := range fanoutCallers {
		wg.Go(func() {
			for n := range fanoutQueries / fanoutCallers {
				a, err := s.search(worker+n, launcher.Query{
					Application: costApplication,
					Route:       costRoute,
					Body:        fmt.Sprintf("cost %d %d", worker, n),
					Limit:       hitLimit,
					Deadline:    2 * time.Second,
				})
				if err == nil && a.Coverage.Fraction >= 1 {
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

// usage returns how much the sums of the metrics grow in a time without queries.
func usage(c *launcher.Cluster, length time.Duration) (map[string]float64, error) {
	before, err := c.SumMetrics()
	if err != nil {
		return nil, err
	}
	time.Sleep(length)
	after, err := c.SumMetrics()
	if err != nil {
		return nil, err
	}
	return difference(before, after), nil
}

func difference(before, after map[string]float64) map[string]float64 {
	d := map[string]float64{}
	for name, v := range after {
		d[name] = v - before[name]
	}
	return d
}

// control measures what each VM spends without queries, by the number of VMs and replicas.
func (m *measurement) control() error {
	for _, size := range controlSizes {
		if err := m.controlOf(size[0], size[1]); err != nil {
			return fmt.Errorf("%d VMs, %d replicas: %w", size[0], size[1], err)
		}
	}
	return nil
}

func (m *measurement) controlOf(vms, replicas int) error {
	zones := min(maxZones, vms/2)
	perZone := map[string]int{}
	for n := range vms {
		perZone[fmt.Sprintf("zone-%d", n%zones)]++
	}
	c, err := m.start(launcher.Options{
		Set:        scaledSet(zones, max(replicas/3, 1), replicas),
		VMsPerZone: perZone,
		InProcess:  true,
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	time.Sleep(controlSettle)
	return m.addControl(c, vms, replicas)
}

func (m *measurement) addControl(c *launcher.Cluster, vms, replicas int) error {
	var before, after struct {
		Reads          float64
		Watches        float64
		WaitingWatches float64
	}
	if err := c.Counters(c.PlatformAddress, &before); err != nil {
		return err
	}
	d, err := usage(c, controlLength)
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
	perSecond := perVM * controlLength.Seconds()
	const kilo, mega = 1e3, 1e6
	m.add("control", "idle", map[string]float64{
		"VMs":                    perVM,
		"Replicas":               float64(replicas),
		"CorePercent":            100 * d["process_cpu_seconds_total"] / perSecond,
		"MemoryMB":               sums["process_resident_memory_bytes"] / perVM / mega,
		"HeapMB":                 sums["go_memstats_heap_inuse_bytes"] / perVM / mega,
		"SentKBPerSecond":        d["anvildyke_peer_sent_bytes_total"] / perSecond / kilo,
		"ReceivedKBPerSecond":    d["anvildyke_peer_received_bytes_total"] / perSecond / kilo,
		"PlatformReadsPerSecond": (after.Reads + after.Watches - before.Reads - before.Watches) / controlLength.Seconds(),
		"PlatformWatches":        after.WaitingWatches,
	})
	return nil
}
