package benchmarker

import (
	"fmt"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/examples"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// deploymentCase is one of the users' deployments.
type deploymentCase struct {
	name        string
	file        []byte
	application string
	route       string
	zoneLatency time.Duration
	// vms are the entry VMs of each zone, in the order of the zones.
	vms []int
}

var deployments = []deploymentCase{
	{
		name:        "Oso Perdido",
		file:        examples.OsoPerdido,
		application: "buscador",
		route:       "lost",
		zoneLatency: 8 * time.Millisecond,
		vms:         []int{3, 2, 2},
	},
	{
		name:        "Tafelrond",
		file:        examples.Tafelrond,
		application: "boekportaal",
		route:       "rooms",
		zoneLatency: 20 * time.Millisecond,
		vms:         []int{3, 3, 2},
	},
}

// variant is a way of answering the same load.
type variant struct {
	name    string
	percent func(p *parser.Policy)
	direct  bool
}

var variants = []variant{
	{
		name:    "anvildyke",
		percent: func(*parser.Policy) {},
	},
	{
		name:    "no hedging",
		percent: func(p *parser.Policy) { p.HedgePercent = 0 },
	},
	{
		name:    "one try",
		percent: func(p *parser.Policy) { p.HedgePercent, p.RetryPercent = 0, 0 },
	},
	{
		name:    "no owners, no ramp",
		percent: func(*parser.Policy) {},
		direct:  true,
	},
}

var loads = []float64{0.5, 1, 2}

func (d deploymentCase) set(change func(p *parser.Policy)) (parser.Set, error) {
	set, err := parser.Decode(d.name, d.file)
	if err != nil {
		return nil, err
	}
	var kept parser.Set
	for _, o := range set {
		if p, ok := o.(parser.Policy); ok {
			change(&p)
			o = p
		}
		kept = append(kept, o)
	}
	return kept, nil
}

func (d deploymentCase) options(set parser.Set) launcher.Options {
	zones := map[string]int{}
	n := 0
	for _, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok {
			zones[z.Name] = d.vms[n]
			n++
		}
	}
	return launcher.Options{
		Set:         set,
		VMsPerZone:  zones,
		ZoneLatency: d.zoneLatency,
		BackendArgs: []string{
			"-service-time=" + serviceTime.String(),
			"-straggle-share=" + straggleShare,
			"-straggle-time=" + straggleTime.String(),
		},
	}
}

// capacity is the rate at which all slots of the application's first version are busy.
func capacity(c *launcher.Cluster, application string) float64 {
	shards := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok && s.Application == application {
			shards[s.Name] = 0
		}
	}
	for _, o := range c.Set {
		if b, ok := o.(parser.BackendServer); ok {
			if _, ok := shards[b.Service]; ok && !strings.HasSuffix(b.Version, newVersion) {
				shards[b.Service] += b.Slots
			}
		}
	}
	slots := 0
	for _, n := range shards {
		if slots == 0 || n < slots {
			slots = n
		}
	}
	return float64(slots) / serviceTime.Seconds()
}

func (m *measurement) service() error {
	for _, d := range deployments {
		for _, v := range variants {
			if err := m.serviceOf(d, v); err != nil {
				return fmt.Errorf("%s, %s: %w", d.name, v.name, err)
			}
		}
	}
	return nil
}

func (m *measurement) serviceOf(d deploymentCase, v variant) error {
	set, err := d.set(v.percent)
	if err != nil {
		return err
	}
	s, err := m.openCase(d, set)
	if err != nil {
		return err
	}
	defer s.close()
	send := s.search
	if v.direct {
		base := newDirect(s.Cluster, d.application, len(s.vms))
		defer base.close()
		send = base.send
	}
	for _, share := range loads {
		if err := m.serviceAt(s.Cluster, d, v, share, send); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) serviceAt(c *launcher.Cluster, d deploymentCase, v variant, share float64, send sender) error {
	before, err := c.SumMetrics()
	if err != nil {
		return err
	}
	l := &load{
		application: d.application,
		route:       d.route,
		rate:        share * capacity(c, d.application),
		length:      m.LoadDuration,
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
		"GoodputPerSecond": float64(sum.Full) / m.LoadDuration.Seconds(),
		"OfferedPerSecond": l.rate,
	}
	if subs := after["anvildyke_sub_requests_total"] - before["anvildyke_sub_requests_total"]; subs > 0 {
		extra := after["anvildyke_hedges_total"] + after["anvildyke_retries_total"] - before["anvildyke_hedges_total"] - before["anvildyke_retries_total"]
		values["ExtraPercent"] = 100 * extra / (subs - extra)
	}
	m.add("service", fmt.Sprintf("%s, %.1f x capacity, %s", d.name, share, v.name), values)
	return nil
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
