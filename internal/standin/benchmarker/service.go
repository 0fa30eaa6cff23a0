package benchmarker

import (
	"fmt"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/examples"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// deploymentCase is an example deployment of one of the users.
type deploymentCase struct {
	name string
	// config is the configuration set in YAML.
	config      []byte
	application string
	route       string
	zoneLatency time.Duration
	// vmCounts are the numbers of entry VMs in each availability zone, in the order of the set.
	vmCounts []int
}

var deployments = []deploymentCase{
	{
		name:        "Oso Perdido",
		config:      examples.OsoPerdido,
		application: "buscador",
		route:       "lost",
		zoneLatency: 8 * time.Millisecond,
		vmCounts:    []int{3, 2, 2},
	},
	{
		name:        "Tafelrond",
		config:      examples.Tafelrond,
		application: "boekportaal",
		route:       "rooms",
		zoneLatency: 20 * time.Millisecond,
		vmCounts:    []int{3, 3, 2},
	},
}

// variant is the full system or a baseline, which is measured under the same load.
type variant struct {
	name string
	// changePolicy modifies the policies of the configuration.
	changePolicy func(p *parser.Policy)
	// direct sends the queries with a directClient instead of through the entry VMs.
	direct bool
}

var variants = []variant{
	{
		name:         "anvildyke",
		changePolicy: func(*parser.Policy) {},
	},
	{
		name:         "no hedging",
		changePolicy: func(p *parser.Policy) { p.HedgePercent = 0 },
	},
	{
		name:         "one try",
		changePolicy: func(p *parser.Policy) { p.HedgePercent, p.RetryPercent = 0, 0 },
	},
	{
		name:         "no owners, no ramp",
		changePolicy: func(*parser.Policy) {},
		direct:       true,
	},
}

// loadFactors are the query rates as multiples of the capacity.
var loadFactors = []float64{0.5, 1, 2}

func (d deploymentCase) decodeSet(change func(p *parser.Policy)) (parser.Set, error) {
	set, err := parser.Decode(d.name, d.config)
	if err != nil {
		return nil, err
	}
	var result parser.Set
	for _, o := range set {
		if p, ok := o.(parser.Policy); ok {
			change(&p)
			o = p
		}
		result = append(result, o)
	}
	return result, nil
}

func (d deploymentCase) launcherOptions(set parser.Set) launcher.Options {
	vmsPerZone := map[string]int{}
	zoneIndex := 0
	for _, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok {
			vmsPerZone[z.Name] = d.vmCounts[zoneIndex]
			zoneIndex++
		}
	}
	return launcher.Options{
		Set:         set,
		VMsPerZone:  vmsPerZone,
		ZoneLatency: d.zoneLatency,
		BackendArgs: []string{
			"-service-time=" + serviceTime.String(),
			"-straggle-share=" + straggleShare,
			"-straggle-time=" + straggleTime.String(),
		},
	}
}

// capacity returns the rate, in queries per second, at which all slots of the application's first version are busy on the shard
// with the fewest slots.
func capacity(c *launcher.Cluster, application string) float64 {
	slotsPerShard := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok && s.Application == application {
			slotsPerShard[s.Name] = 0
		}
	}
	for _, o := range c.Set {
		if b, ok := o.(parser.BackendServer); ok {
			if _, ok := slotsPerShard[b.Service]; ok && !strings.HasSuffix(b.Version, newVersionSuffix) {
				slotsPerShard[b.Service] += b.Slots
			}
		}
	}
	slots := 0
	for _, n := range slotsPerShard {
		if slots == 0 || n < slots {
			slots = n
		}
	}
	return float64(slots) / serviceTime.Seconds()
}

// measureService measures latency, coverage, extra load and goodput of each deployment and variant at several loads.
func (b *benchmark) measureService() error {
	for _, d := range deployments {
		for _, v := range variants {
			if err := b.measureServiceCase(d, v); err != nil {
				return fmt.Errorf("%s, %s: %w", d.name, v.name, err)
			}
		}
	}
	return nil
}

func (b *benchmark) measureServiceCase(d deploymentCase, v variant) error {
	set, err := d.decodeSet(v.changePolicy)
	if err != nil {
		return err
	}
	s, err := b.openDeployment(d, set)
	if err != nil {
		return err
	}
	defer s.close()
	send := s.search
	if v.direct {
		baseline := newDirectClient(s.Cluster, d.application, len(s.vms))
		defer baseline.close()
		send = baseline.send
	}
	for _, factor := range loadFactors {
		if err := b.measureServiceLoad(s.Cluster, d, v, factor, send); err != nil {
			return err
		}
	}
	return nil
}

func (b *benchmark) measureServiceLoad(c *launcher.Cluster, d deploymentCase, v variant, factor float64, send sendFunc) error {
	before, err := c.SumMetrics()
	if err != nil {
		return err
	}
	l := &loadGenerator{
		application: d.application,
		route:       d.route,
		rate:        factor * capacity(c, d.application),
		duration:    b.LoadDuration,
		deadline:    130 * time.Millisecond,
		send:        send,
	}
	r := l.run()
	after, err := c.SumMetrics()
	if err != nil {
		return err
	}
	sum := r.total()
	values := map[string]float64{
		"P50ms":            float64(r.quantile(50).Microseconds()) / 1000,
		"P99ms":            float64(r.quantile(99).Microseconds()) / 1000,
		"P999ms":           float64(r.quantile(99.9).Microseconds()) / 1000,
		"AnsweredPercent":  percent(sum.Answered, sum.Sent),
		"FullPercent":      percent(sum.Full, sum.Sent),
		"CoveragePercent":  100 * sum.CoverageSum / float64(max(sum.Sent, 1)),
		"GoodputPerSecond": float64(sum.Full) / b.LoadDuration.Seconds(),
		"OfferedPerSecond": l.rate,
	}
	if subRequests := after["anvildyke_sub_requests_total"] - before["anvildyke_sub_requests_total"]; subRequests > 0 {
		extra := after["anvildyke_hedges_total"] + after["anvildyke_retries_total"] - before["anvildyke_hedges_total"] - before["anvildyke_retries_total"]
		values["ExtraPercent"] = 100 * extra / (subRequests - extra)
	}
	b.addRow("service", fmt.Sprintf("%s, %.1f x capacity, %s", d.name, factor, v.name), values)
	return nil
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
