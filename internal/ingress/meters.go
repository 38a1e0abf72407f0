package ingress

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/internal/entry"
)

// latencySamples is the size of the sample that the latency's quantiles come from.
const latencySamples = 1028

// meters counts what callers see.
type meters struct {
	registry metrics.Registry
	latency  metrics.Histogram
	success  metrics.Counter
	failure  metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r,
		latency:  metrics.NewRegisteredHistogram("callers.latency.us", r, metrics.NewExpDecaySample(latencySamples, 0.015)),
		success:  metrics.NewRegisteredCounter("callers.answers", r),
		failure:  metrics.NewRegisteredCounter("callers.failures", r),
	}
}

func (m *meters) answered(took time.Duration, status int) {
	m.latency.Update(took.Microseconds())
	if status >= http.StatusInternalServerError {
		m.failure.Inc(1)
		return
	}
	m.success.Inc(1)
}

func (m *meters) refused(c entry.Code) {
	metrics.GetOrRegisterCounter("callers.refusals."+string(c), m.registry).Inc(1)
}

// serveMetrics shows all metrics as text.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	metrics.WriteOnce(i.registry, w)
}
