package ingress

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/internal/entry"
)

// latencySamples is the size of the sample that the latency's quantiles come from.
const latencySampleSize = 1028

// meters counts what callers see.
type callerMetrics struct {
	registry metrics.Registry
	latency  metrics.Histogram
	success  metrics.Counter
	failure  metrics.Counter
}

func newCallerMetrics(r metrics.Registry) callerMetrics {
	return callerMetrics{
		registry: r,
		latency: metrics.NewRegisteredHistogram(
			"callers.latency.us", r, metrics.NewExpDecaySample(latencySampleSize, 0.015),
		),
		success: metrics.NewRegisteredCounter("callers.answers", r),
		failure: metrics.NewRegisteredCounter("callers.failures", r),
	}
}

func (m *callerMetrics) recordResponse(elapsed time.Duration, status int) {
	m.latency.Update(elapsed.Microseconds())
	if status >= http.StatusInternalServerError {
		m.failure.Inc(1)
		return
	}
	m.success.Inc(1)
}

func (m *callerMetrics) recordRefusal(c entry.Code) {
	metrics.GetOrRegisterCounter("callers.refusals."+string(c), m.registry).Inc(1)
}

// serveMetrics shows all metrics as text.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	metrics.WriteOnce(i.registry, w)
}
