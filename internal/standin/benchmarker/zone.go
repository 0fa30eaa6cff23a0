package benchmarker

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	zoneLength = 30 * time.Second
	zoneLeaves = 8 * time.Second
	zoneComes  = 20 * time.Second
	zoneLoad   = 0.4
)

// zone measures the service second by second while an availability zone is taken out and put back.
func (m *measurement) zone() error {
	for _, d := range deployments {
		if err := m.zoneOf(d); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	return nil
}

func (m *measurement) zoneOf(d deploymentCase) error {
	set, err := d.set(func(*parser.Policy) {})
	if err != nil {
		return err
	}
	s, err := m.openCase(d, set)
	if err != nil {
		return err
	}
	defer s.close()
	l := &load{
		application: d.application,
		route:       d.route,
		rate:        zoneLoad * capacity(s.Cluster, d.application),
		length:      zoneLength,
		deadline:    130 * time.Millisecond,
		send:        s.search,
	}
	w := &zoneSwitch{
		cluster: s.Cluster,
		zone:    s.ZoneNames()[1],
		done:    make(chan error, 1),
	}
	go w.run()
	r := l.run()
	if err := <-w.done; err != nil {
		return err
	}
	for i, at := range r.seconds {
		if at.Sent == 0 {
			continue
		}
		m.add("zone", d.name, map[string]float64{
			"Second":   float64(i),
			"Sent":     float64(at.Sent),
			"Answered": float64(at.Answered),
			"Full":     float64(at.Full),
			"Late":     float64(at.Late),
		})
	}
	return m.plot(d, r)
}

// zoneSwitch takes a zone out and puts it back at fixed times.
type zoneSwitch struct {
	cluster *launcher.Cluster
	zone    string
	done    chan error
}

func (s *zoneSwitch) run() {
	start := time.Now()
	time.Sleep(zoneLeaves)
	if err := s.apply(parser.ZoneOutOfService); err != nil {
		s.done <- err
		return
	}
	time.Sleep(time.Until(start.Add(zoneComes)))
	s.done <- s.apply(parser.ZoneInService)
}

func (s *zoneSwitch) apply(state parser.ZoneState) error {
	set := slices.Clone(s.cluster.Set)
	for i, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == s.zone {
			z.State = state
			set[i] = z
		}
	}
	return s.cluster.Apply(s.cluster.VMs()[len(s.cluster.VMs())-1], set)
}

// plot draws the series of a run as an SVG file.
func (m *measurement) plot(d deploymentCase, r *result) error {
	var x, answered, full, late []float64
	for i, at := range r.seconds {
		if at.Sent == 0 {
			continue
		}
		x = append(x, float64(i))
		answered = append(answered, percent(at.Answered, at.Sent))
		full = append(full, percent(at.Full, at.Sent))
		late = append(late, percent(at.Late, at.Sent))
	}
	series := func(name string, y []float64) chart.Series {
		return chart.ContinuousSeries{
			Name:    name,
			XValues: x,
			YValues: y,
		}
	}
	graph := chart.Chart{
		Title: fmt.Sprintf("%s: a zone is out from %s to %s", d.name, zoneLeaves, zoneComes),
		XAxis: chart.XAxis{
			Name: "s",
		},
		YAxis: chart.YAxis{
			Name: "% of queries",
			Range: &chart.ContinuousRange{
				Max: 105,
			},
		},
		Series: []chart.Series{series("answered", answered), series("full", full), series("late", late)},
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	f, err := os.Create(filepath.Join(m.OutDir, "zone-"+d.application+".svg"))
	if err != nil {
		return fmt.Errorf("creating the plot: %w", err)
	}
	if err := graph.Render(chart.SVG, f); err != nil {
		return fmt.Errorf("drawing the plot: %w", err)
	}
	return f.Close()
}
