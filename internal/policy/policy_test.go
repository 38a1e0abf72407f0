package policy_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
)

const (
	simulatedDuration    = 60 * time.Second
	faultStart           = 15 * time.Second // start of a variant's fault
	drainPropagation     = 2 * time.Second  // time until all instances have applied a drain
	floodingOrganisation = 1                // index of the organisation that sends floodFactor times its rate
	floodFactor          = 5.0
)

// organisationShares are the shares of the 8 organisations in the usual requests, in percent.
var organisationShares = []float64{30, 20, 14, 10, 8, 8, 5, 5}

// workload is a service of an example fleet, with its number of upstreams and slots and requests of both classes.
type workload struct {
	name             string
	upstreams, slots int
	kinds            []requestKind
	utilisation      float64 // fraction of all slots that the usual requests use
	limitFactor      float64 // an organisation's rate as a multiple of its usual requests
}

var workloads = []workload{
	{
		name: "zadruga", upstreams: 14, slots: 6, utilisation: 0.45, limitFactor: 1.6,
		kinds: []requestKind{
			{note.Small, 5 * time.Millisecond, 15 * time.Millisecond, 2 * time.Second, true, 0.98, 0.6},
			{note.Bulk, 100 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, true, 0.02, 0.4},
		},
	},
	{
		name: "cascadia", upstreams: 18, slots: 6, utilisation: 0.40, limitFactor: 1.6,
		kinds: []requestKind{
			{note.Small, 5 * time.Millisecond, 10 * time.Millisecond, 2 * time.Second, true, 0.9, 0.5},
			{note.Small, 10 * time.Millisecond, 30 * time.Millisecond, 2 * time.Second, false, 0.095, 0.1},
			{note.Bulk, 200 * time.Millisecond, 600 * time.Millisecond, 20 * time.Second, true, 0.005, 0.4},
		},
	},
}

// meanServiceTime returns the mean service time of a usual request in seconds.
func (w workload) meanServiceTime() float64 {
	sum := 0.0
	for _, k := range w.kinds {
		sum += k.share * (k.fixedTime + k.meanExtraTime).Seconds()
	}
	return sum
}

// arrivals draws the requests that pass the organisations' token buckets, sorted by time.
func (w workload) arrivals(seed uint64, movedShare float64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	totalRate := w.utilisation * float64(w.upstreams*w.slots) / w.meanServiceTime()
	var list []request
	for organisation, share := range organisationShares {
		usualRate := totalRate * share / 100
		limit, rate := usualRate*w.limitFactor, usualRate
		if organisation == floodingOrganisation {
			rate = limit * floodFactor
		}
		tokens, last := 2*limit, 0.0
		for at := random.ExpFloat64() / rate; at < simulatedDuration.Seconds(); at += random.ExpFloat64() / rate {
			r := w.drawRequest(random, organisation, at, movedShare)
			tokens, last = min(2*limit, tokens+(at-last)*limit), at
			if tokens >= 1 {
				tokens--
				list = append(list, r)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].arrivalTime < list[j].arrivalTime })
	for i := range list {
		r := &list[i]
		r.item = queue.Item{
			Request: id.Request(i), Organisation: id.Organisation(strconv.Itoa(r.organisation)), Class: r.kind.class,
			Deadline: startTime.Add(r.arrivalTime + r.kind.timeout),
		}
	}
	return list
}

func (w workload) drawRequest(random *rand.Rand, organisation int, at, movedShare float64) request {
	r := request{organisation: organisation, arrivalTime: time.Duration(at * 1e9), instanceDraw: random.Uint64(), upstreamIndex: -1}
	choice := random.Float64()
	for i := range w.kinds {
		share := w.kinds[i].share
		if organisation == floodingOrganisation {
			share = w.kinds[i].floodShare
		}
		if r.kind = &w.kinds[i]; choice < share {
			break
		}
		choice -= share
	}
	r.serviceTime = r.kind.fixedTime + time.Duration(random.ExpFloat64()*float64(r.kind.meanExtraTime))
	upstreamIndex := random.IntN(w.upstreams) // weights the regions by their number of upstreams
	r.region = upstreamIndex % len(regions)
	if r.region == 0 && r.arrivalTime > faultStart && random.Float64() < movedShare {
		r.region = 1
	}
	return r
}

// variant is a fault during a workload.
type variant struct {
	name       string
	movedShare float64 // fraction of the first region's requests that move to the second from faultStart on
	fault      func(s *sim)
}

var variants = []variant{
	{name: "plain"},
	{name: "instance lost", fault: func(s *sim) {
		killed := s.instances[0]
		s.kill(killed)
		s.schedule(6*time.Second, func() { s.divideSlots(killed.region) }) // the killed instance's lease expires
	}},
	{name: "reports stop", fault: func(s *sim) { s.reportsLoad = false }},
	{name: "lying upstream", fault: func(s *sim) { s.upstreams[1].isMisreporting = true }},
	{name: "cold after move", movedShare: 0.25, fault: func(s *sim) {
		for _, u := range s.upstreams {
			if u.region == 1 {
				u.coldRequests = 60
			}
		}
	}},
	{name: "drain of a third", fault: func(s *sim) {
		for i, u := range s.upstreams {
			u.isDraining = i/len(regions)%3 == 1
		}
		for r := range regions {
			for n, i := range s.liveInstances(r) {
				s.schedule(time.Duration(s.random.Int64N(int64(drainPropagation))), func() {
					s.setSlotShares(i, n, len(s.liveInstances(r)))
				})
			}
		}
		s.schedule(drainPropagation, func() {
			for _, u := range s.upstreams {
				u.startsAtDrainBound = u.starts
			}
		})
	}},
}

// result holds the latencies by organisation and class; a failed request counts with its timeout.
type result struct {
	small, bulk           [][]time.Duration
	total                 time.Duration
	count                 int
	withinLimit, refused  int // requests of organisations within their rate
	lateStarts, overloads int
}

func (w workload) simulate(seed uint64, v variant, arrivals []request, newScheduler func(uint64, int) scheduler) result {
	out := result{small: make([][]time.Duration, len(organisationShares)), bulk: make([][]time.Duration, len(organisationShares))}
	s := &sim{random: rand.New(rand.NewPCG(seed, 2)), indexByName: map[id.Upstream]int{}, reportsLoad: true}
	for i := range w.upstreams {
		name := id.Upstream("server-" + strconv.Itoa(i))
		s.indexByName[name] = i
		s.upstreams = append(s.upstreams, &upstream{name: name, region: i % len(regions), slots: w.slots})
	}
	for i := range 7 {
		region := i % len(regions)
		s.instances = append(s.instances, &instance{
			scheduler: newScheduler(seed+uint64(i), region), region: region,
			slotShares: make([]int, w.upstreams), running: make([]int, w.upstreams), pending: map[*request]bool{},
		})
	}
	s.onDone = func(r *request, latency time.Duration, ok bool) { out.record(r, latency, ok) }
	for r := range regions {
		s.divideSlots(r)
	}
	list := slices.Clone(arrivals)
	s.scheduleArrivals(list)
	if v.fault != nil {
		s.schedule(faultStart, func() { v.fault(s) })
	}
	s.scheduleEvery(500*time.Millisecond, simulatedDuration, s.reportLoads)
	s.scheduleEvery(50*time.Millisecond, simulatedDuration+30*time.Second, func() {
		for _, i := range s.instances {
			s.dispatch(i)
		}
	})
	s.run()
	out.overloads = s.overloads
	for _, u := range s.upstreams {
		if u.isDraining {
			out.lateStarts += u.starts - u.startsAtDrainBound
		}
	}
	return out
}

// reportLoads delivers each upstream's load to all instances after a delay of 100 ms.
func (s *sim) reportLoads() {
	for _, u := range s.upstreams {
		running := u.running
		if u.isMisreporting {
			running = 0
		}
		s.schedule(100*time.Millisecond, func() {
			for _, i := range s.instances {
				if s.reportsLoad {
					i.recordLoad(s.currentTime(), u.name, running)
				}
			}
		})
	}
}

func (o *result) record(r *request, latency time.Duration, ok bool) {
	if !ok {
		latency = r.kind.timeout
	}
	latency = min(latency, r.kind.timeout)
	if r.kind.class == note.Small {
		o.small[r.organisation] = append(o.small[r.organisation], latency)
	} else {
		o.bulk[r.organisation] = append(o.bulk[r.organisation], latency)
	}
	o.total += latency
	o.count++
	if r.organisation == floodingOrganisation {
		return
	}
	o.withinLimit++
	if !ok {
		o.refused++
	}
}

func (o *result) mean() time.Duration { return o.total / time.Duration(max(o.count, 1)) }

func p99(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*99/100]
}

// worstP99 returns the maximum p99 of the organisations within their rate, and that organisation.
func worstP99(latencies [][]time.Duration) (maxP99 time.Duration, organisation int) {
	for i, list := range latencies {
		if value := p99(list); i != floodingOrganisation && value > maxP99 {
			maxP99, organisation = value, i
		}
	}
	return maxP99, organisation
}

func requestsOf(list []request, organisation int) []request {
	var requests []request
	for i := range list {
		if list[i].organisation == organisation {
			requests = append(requests, list[i])
		}
	}
	return requests
}

// Guards against a scheduler that misses its documented targets: a bounded p99 of the worst-served organisation while
// another one sends 5 times its rate, no upstream above its slots, no new requests at drained upstreams, and few
// refusals of requests within the rate.
// The environment variable POLICY_SEED selects the seed of the arrivals, 1 by default.
func TestPolicy(t *testing.T) {
	seed := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("POLICY_SEED"), 10, 64); err == nil {
		seed = v
	}
	t.Logf("seed %d; p99 of the worst-served organisation within its rate, small requests, and of its bulk requests", seed)
	t.Logf("%-9s %-16s %8s %8s %6s %8s %6s | %8s %8s | %9s %9s | %8s %5s %6s", "user", "variant", "ours", "alone", "ratio",
		"naive", "times", "bulk", "naive", "mean", "naive", "refused", "over", "naive")
	for _, w := range workloads {
		usualArrivals := w.arrivals(seed, 0)
		for _, v := range variants {
			t.Run(w.name+"/"+v.name, func(t *testing.T) {
				t.Parallel()
				arrivals := usualArrivals
				if v.movedShare > 0 {
					arrivals = w.arrivals(seed, v.movedShare)
				}
				checkTargets(t, w, v, seed, arrivals)
			})
		}
	}
}

// checkTargets simulates a variant with both schedulers, logs a row of the table and checks the targets.
func checkTargets(t *testing.T, w workload, v variant, seed uint64, arrivals []request) {
	product := w.simulate(seed, v, arrivals, newProductScheduler)
	naive := w.simulate(seed, v, arrivals, newNaiveScheduler)
	productP99, organisation := worstP99(product.small)
	alone := w.simulate(seed, v, requestsOf(arrivals, organisation), newProductScheduler)
	aloneP99 := p99(alone.small[organisation])
	naiveP99, _ := worstP99(naive.small)
	bulkP99, _ := worstP99(product.bulk)
	naiveBulkP99, _ := worstP99(naive.bulk)
	ratio, improvement := float64(productP99)/float64(aloneP99), float64(naiveP99)/float64(productP99)
	refused := float64(product.refused) / float64(product.withinLimit)
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1e6) }
	t.Logf("%-9s %-16s %8s %8s %6.2f %8s %6.1f | %8s %8s | %9s %9s | %7.3f%% %5d %6d", w.name, v.name,
		ms(productP99), ms(aloneP99), ratio, ms(naiveP99), improvement, ms(bulkP99), ms(naiveBulkP99),
		ms(product.mean()), ms(naive.mean()), 100*refused, product.overloads, naive.overloads)

	expectTarget := func(ok bool, target string) {
		if !ok {
			t.Errorf("seed %d: %s, %s: missed: %s", seed, w.name, v.name, target)
		}
	}
	require.Equal(t, len(arrivals), product.count, "each request completes once")
	require.Equal(t, len(arrivals), naive.count, "each request completes once")
	expectTarget(ratio <= 1.5, "p99 beside the flooding organisation at most 1.5 times the p99 alone")
	expectTarget(improvement >= 10, "p99 of the worst-served organisation at most a tenth of naive")
	expectTarget(product.mean() <= naive.mean(), "mean not worse than naive")
	expectTarget(product.overloads == 0, "no upstream above its slots")
	expectTarget(product.lateStarts == 0, "no new work on a drained upstream after 2 s")
	maxRefused := 0.001
	if v.name == "instance lost" {
		maxRefused = 0.01
	}
	expectTarget(refused <= maxRefused, fmt.Sprintf("refusals within the rate at most %.1f%%", 100*maxRefused))
}
