package bluebellhold

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/internal/steering"
)

// gauges are the values that are refreshed once a second, and the counter of dispatches.
type gauges struct {
	epoch     metrics.Gauge
	fresh     metrics.Gauge
	storeDown metrics.Gauge
	members   metrics.Gauge
	requests  metrics.Gauge
	unsettled metrics.Gauge
	suspects  metrics.Gauge
	// dispatched is kept here because it is counted on the path of each request.
	dispatched metrics.Counter
}

func newGauges(r metrics.Registry) gauges {
	return gauges{
		epoch:     metrics.GetOrRegisterGauge("epoch", r),
		fresh:     metrics.GetOrRegisterGauge("fresh", r),
		storeDown: metrics.GetOrRegisterGauge("storedown", r),
		members:   metrics.GetOrRegisterGauge("members", r),
		requests:  metrics.GetOrRegisterGauge("requests", r),
		unsettled: metrics.GetOrRegisterGauge("unsettled", r),
		suspects:  metrics.GetOrRegisterGauge("suspects", r),

		dispatched: metrics.GetOrRegisterCounter("dispatched", r),
	}
}

func (g gauges) update(v steering.Stats) {
	g.epoch.Update(int64(v.Epoch))
	g.fresh.Update(flag(v.Fresh))
	g.storeDown.Update(flag(v.StoreDown))
	g.members.Update(int64(v.LiveInstances))
	g.requests.Update(int64(v.Requests))
	g.unsettled.Update(int64(v.UnsettledClaims))
	g.suspects.Update(int64(v.Suspects))
}

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// countEffect counts what the reducer decided for requests, and the calls to the platform.
func (i *Instance) countEffect(effect steering.Effect) {
	switch e := effect.(type) {
	case steering.Dispatch:
		i.gauges.dispatched.Inc(1)
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

// updateGauges refreshes the gauges from the state.
func (i *Instance) updateGauges() {
	i.m.Lock()
	vitals := i.state.Stats(time.Now())
	i.m.Unlock()
	i.gauges.update(vitals)
}
