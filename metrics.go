package bluebellhold

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/internal/steering"
)

// instanceMetrics holds the gauges, which are updated every gaugeInterval, and the counter of dispatches.
type instanceMetrics struct {
	epoch           metrics.Gauge
	fresh           metrics.Gauge
	storeDown       metrics.Gauge
	members         metrics.Gauge
	requests        metrics.Gauge
	unsettledClaims metrics.Gauge
	suspects        metrics.Gauge
	// dispatched is held here, rather than looked up in the registry each time, because it is incremented for each
	// dispatch.
	dispatched metrics.Counter
}

func newInstanceMetrics(r metrics.Registry) instanceMetrics {
	return instanceMetrics{
		epoch:           metrics.GetOrRegisterGauge("epoch", r),
		fresh:           metrics.GetOrRegisterGauge("fresh", r),
		storeDown:       metrics.GetOrRegisterGauge("storedown", r),
		members:         metrics.GetOrRegisterGauge("members", r),
		requests:        metrics.GetOrRegisterGauge("requests", r),
		unsettledClaims: metrics.GetOrRegisterGauge("unsettled", r),
		suspects:        metrics.GetOrRegisterGauge("suspects", r),

		dispatched: metrics.GetOrRegisterCounter("dispatched", r),
	}
}

func (m instanceMetrics) update(stats steering.Stats) {
	m.epoch.Update(int64(stats.Epoch))
	m.fresh.Update(boolToInt(stats.Fresh))
	m.storeDown.Update(boolToInt(stats.StoreDown))
	m.members.Update(int64(stats.LiveInstances))
	m.requests.Update(int64(stats.Requests))
	m.unsettledClaims.Update(int64(stats.UnsettledClaims))
	m.suspects.Update(int64(stats.Suspects))
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// countEffect counts the reducer's decisions about requests and the calls to the platform's table.
func (i *Instance) countEffect(effect steering.Effect) {
	switch e := effect.(type) {
	case steering.Dispatch:
		i.metrics.dispatched.Inc(1)
	case steering.Replay:
		i.counter("replayed").Inc(1)
	case steering.Refuse:
		i.counter("refused." + string(e.Refusal.Code)).Inc(1)
	case steering.Transact:
		i.counter("store.transactions").Inc(1)
		i.counter("store.writes").Inc(int64(len(e.Transaction.Writes)))
	case steering.ReadRows, steering.ReadHead, steering.ScanRows:
		i.counter("store.reads").Inc(1)
	}
}

func (i *Instance) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, i.registry)
}

// updateGauges sets the gauges to the current figures of the state.
func (i *Instance) updateGauges() {
	i.mu.Lock()
	stats := i.state.Stats(time.Now())
	i.mu.Unlock()
	i.metrics.update(stats)
}
