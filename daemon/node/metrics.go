package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/rhubarbsaddle/rhubarbsaddle/metrics"
)

// Metrics are the node's metrics in their own registry.
type Metrics struct {
	*metrics.Metrics
	registry *prometheus.Registry
}

func newMetrics(n *Node) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	m, err := metrics.New(registry, n.Invariants)
	if err != nil {
		return nil, err
	}
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Metrics{Metrics: m, registry: registry}, nil
}
