package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
)

// The reservoir size and the decay factor of the latency samples, as go-metrics recommends.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// latencies holds one latency histogram, in microseconds, for each organisation and service.
//
// A look-up in the registry would build the metric's name for each observation; the map avoids that on the request path.
type latencies struct {
	registry   metrics.Registry
	histograms sync.Map
}

type latencyKey struct {
	service      id.Service
	organisation id.Organisation
}

func (l *latencies) observe(service id.Service, organisation id.Organisation, elapsed time.Duration) {
	key := latencyKey{service, organisation}
	histogram, ok := l.histograms.Load(key)
	if !ok {
		name := "latency." + string(service) + "." + string(organisation)
		created := metrics.GetOrRegisterHistogram(name, l.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
		histogram, _ = l.histograms.LoadOrStore(key, created)
	}
	histogram.(metrics.Histogram).Update(elapsed.Microseconds())
}
