package ingress

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/internal/entry"
)

// latencySampleSize is the number of samples for the quantiles of the latency.
const latencySampleSize = 1028

// callerMetrics counts the responses and refusals sent to callers.
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

// poolMetrics counts the connections to upstreams.
type poolMetrics struct {
	// opened counts all connections that were opened, and reused the requests that got an idle one.
	opened, reused metrics.Counter
	// ahead counts the connections that were opened ahead, and unused those of them that were closed unused.
	ahead, unused metrics.Counter
	// unmatched counts the responses that did not belong to the request in flight.
	unmatched metrics.Counter
}

func newPoolMetrics(r metrics.Registry) poolMetrics {
	return poolMetrics{
		opened: metrics.NewRegisteredCounter("upstreams.connections.opened", r),
		reused: metrics.NewRegisteredCounter("upstreams.connections.reused", r),
		ahead:  metrics.NewRegisteredCounter("upstreams.connections.ahead", r),
		unused: metrics.NewRegisteredCounter("upstreams.connections.unused", r),

		unmatched: metrics.NewRegisteredCounter("upstreams.unmatched", r),
	}
}

// serveMetrics responds with all metrics as text.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	metrics.WriteOnce(i.registry, w)
}

// noteCutOff logs and counts that requests of a service are held back for more urgent work elsewhere, or no more.
func (i *Instance) noteCutOff(e entry.CutOffChanged) {
	if e.Slots == 0 {
		i.log.Info("order: cut-off lifted", "service", e.Service)
		return
	}
	metrics.GetOrRegisterCounter("order.cutoffs", i.registry).Inc(1)
	i.log.Info("order: more urgent work waits elsewhere", "service", e.Service, "organisation", e.Waiting.Organisation,
		"route", e.Waiting.Route, "slots", e.Slots)
}
