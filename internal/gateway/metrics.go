package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
)

// The size and the decay of the latency samples; the values are those that go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// latencies holds one histogram of microseconds for each organisation and service.
//
// The registry's own look-up builds the name for each observation; the map avoids that on the request path.
type latencies struct {
	registry metrics.Registry
	byOwner  sync.Map
}

type latencyOwner struct {
	service      id.Service
	organisation id.Organisation
}

func (l *latencies) observe(service id.Service, organisation id.Organisation, took time.Duration) {
	owner := latencyOwner{service, organisation}
	histogram, ok := l.byOwner.Load(owner)
	if !ok {
		name := "latency." + string(service) + "." + string(organisation)
		created := metrics.GetOrRegisterHistogram(name, l.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		histogram, _ = l.byOwner.LoadOrStore(owner, created)
	}
	histogram.(metrics.Histogram).Update(took.Microseconds())
}
