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
	zoneRunDuration = 30 * time.Second
	// zoneOutAt and zoneBackAt are offsets from the start of the load.
	zoneOutAt      = 8 * time.Second
	zoneBackAt     = 20 * time.Second
	zoneLoadFactor = 0.4
)

// measureZone counts the answered, full and late queries of each second while an availability zone is taken out of service and
// put back into service.
func (b *benchmark) measureZone() error {
	for _, d := range deployments {
		if err := b.measureZoneCase(d); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	return nil
}

func (b *benchmark) measureZoneCase(d deploymentCase) error {
	set, err := d.decodeSet(func(*parser.Policy) {})
	if err != nil {
		return err
	}
	s, err := b.openDeployment(d, set)
	if err != nil {
		return err
	}
	defer s.close()
	l := &loadGenerator{
		application: d.application,
		route:       d.route,
		rate:        zoneLoadFactor * capacity(s.Cluster, d.application),
		duration:    zoneRunDuration,
		deadline:    130 * time.Millisecond,
		send:        s.search,
	}
	toggler := &zoneToggler{
		cluster: s.Cluster,
		zone:    s.ZoneNames()[1],
		done:    make(chan error, 1),
	}
	go toggler.run()
	r := l.run()
	if err := <-toggler.done; err != nil {
		return err
	}
	for i, stats := range r.seconds {
		if stats.Sent == 0 {
			continue
		}
		b.addRow("zone", d.name, map[string]float64{
			"Second":   float64(i),
			"Sent":     float64(stats.Sent),
			"Answered": float64(stats.Answered),
			"Full":     float64(stats.Full),
			"Late":     float64(stats.Late),
		})
	}
	return b.plot(d, r)
}

// zoneToggler takes an availability zone out of service at zoneOutAt and puts it back at zoneBackAt.
type zoneToggler struct {
	cluster *launcher.Cluster
	zone    string
	// done receives the result once.
	done chan error
}

func (t *zoneToggler) run() {
	start := time.Now()
	time.Sleep(zoneOutAt)
	if err := t.apply(parser.ZoneOutOfService); err != nil {
		t.done <- err
		return
	}
	time.Sleep(time.Until(start.Add(zoneBackAt)))
	t.done <- t.apply(parser.ZoneInService)
}

func (t *zoneToggler) apply(state parser.ZoneState) error {
	set := slices.Clone(t.cluster.Set)
	for i, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == t.zone {
			z.State = state
			set[i] = z
		}
	}
	return t.cluster.Apply(t.cluster.VMs()[len(t.cluster.VMs())-1], set)
}

// plot writes the percentages of each second of a run as an SVG chart to OutDir.
func (b *benchmark) plot(d deploymentCase, r *loadResult) error {
	var x, answered, full, late []float64
	for i, stats := range r.seconds {
		if stats.Sent == 0 {
			continue
		}
		x = append(x, float64(i))
		answered = append(answered, percent(stats.Answered, stats.Sent))
		full = append(full, percent(stats.Full, stats.Sent))
		late = append(late, percent(stats.Late, stats.Sent))
	}
	series := func(name string, y []float64) chart.Series {
		return chart.ContinuousSeries{
			Name:    name,
			XValues: x,
			YValues: y,
		}
	}
	graph := chart.Chart{
		Title: fmt.Sprintf("%s: a zone is out from %s to %s", d.name, zoneOutAt, zoneBackAt),
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
	f, err := os.Create(filepath.Join(b.OutDir, "zone-"+d.application+".svg"))
	if err != nil {
		return fmt.Errorf("creating the plot: %w", err)
	}
	if err := graph.Render(chart.SVG, f); err != nil {
		return fmt.Errorf("rendering the plot: %w", err)
	}
	return f.Close()
}
