package launcher

import (
	"fmt"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics returns the current values of those counters and gauges of a VM that have no labels, by name.
func (c *Cluster) Metrics(v *VM) (map[string]float64, error) {
	resp, err := c.client.Get("http://" + v.Metrics.String() + "/metrics")
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	values := map[string]float64{}
	for name, f := range families {
		if m := f.GetMetric(); len(m) == 1 && len(m[0].GetLabel()) == 0 {
			values[name] = valueOf(m[0])
		}
	}
	return values, nil
}

func valueOf(m *dto.Metric) float64 {
	if m.GetCounter() != nil {
		return m.GetCounter().GetValue()
	}
	return m.GetGauge().GetValue()
}

// SumMetrics returns the sums of what Metrics returns for each running VM.
func (c *Cluster) SumMetrics() (map[string]float64, error) {
	sums := map[string]float64{}
	for _, v := range c.VMs() {
		if !v.Running() {
			continue
		}
		values, err := c.Metrics(v)
		if err != nil {
			return nil, err
		}
		for name, value := range values {
			sums[name] += value
		}
	}
	return sums, nil
}
