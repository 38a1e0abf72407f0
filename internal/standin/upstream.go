package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bluebellhold/id"
)

// UpstreamCounts counts the requests of one upstream.
//
// Runs counts the requests whose processing started, Completed those that were completed and Cancelled those that ended
// before completion. WithAuthorization counts requests with an Authorization header. RunsAfterDrain counts the runs
// that started after the drain mark; LastRunAfterDrain is the time from the mark to the start of the last of them.
type UpstreamCounts struct {
	Runs              int64        `json:"runs"`
	Completed         int64        `json:"done"`
	Cancelled         int64        `json:"cancelled"`
	Shed              int64        `json:"shed"`
	Crashes           int64        `json:"crashes"`
	WithAuthorization int64        `json:"keyed"`
	Running           int          `json:"running"`
	Peak              int          `json:"peak"`
	RunsAfterDrain    int64        `json:"late"`
	LastRunAfterDrain Milliseconds `json:"last"`
}

// upstream is one simulated upstream; its crash drops its connections, but the process continues.
type upstream struct {
	endpoint
	totals *totals

	mu             sync.Mutex
	config         Upstream
	loadReports    loadReports
	coldUntil      time.Time
	runsSinceStart int
	counts         UpstreamCounts
	drainMarked    bool
	drainMarkedAt  time.Time
}

// loadReports controls the responses to GET /load: they are delayed by delay, they give override in place of the number
// of running requests unless it is negative, and they fail with status 503 if failing is set. The history holds recent
// numbers of running requests, oldest first.
type loadReports struct {
	delay    time.Duration
	override int
	failing  bool
	history  []sample
}

type sample struct {
	at      time.Time
	running int
}

func newUpstream(config Upstream, t *totals) *upstream {
	u := &upstream{totals: t, config: config, loadReports: loadReports{override: -1}}
	u.handler = http.HandlerFunc(u.serve)
	u.address = config.Address
	return u
}

// startCold starts the upstream with a cold cache, which makes its first requests slower.
func (u *upstream) startCold() error {
	u.mu.Lock()
	u.coldUntil = time.Now().Add(u.config.ColdPeriod.Duration())
	u.runsSinceStart = 0
	u.mu.Unlock()
	return u.start()
}

func (u *upstream) crash() {
	if !u.stopFor(u.currentConfig().Outage.Duration(), func() { _ = u.startCold() }) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Crashes++
}

// acquireSlot takes a slot; it returns false and counts a shed request if all slots are busy.
func (u *upstream) acquireSlot(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		u.counts.WithAuthorization++
	}
	if u.counts.Running >= int(u.config.Slots) {
		u.counts.Shed++
		return false
	}
	u.addRunning(1)
	return true
}

// releaseSlot frees a slot and increments the counter of the request's outcome.
func (u *upstream) releaseSlot(counter *int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*counter++
	u.addRunning(-1)
}

// addRunning changes the number of running requests; the caller holds the mutex.
func (u *upstream) addRunning(delta int) {
	now := time.Now()
	u.counts.Running += delta
	u.counts.Peak = max(u.counts.Peak, u.counts.Running)
	u.totals.addRunning(u.config, delta)
	if u.loadReports.delay > 0 {
		u.loadReports.history = append(u.loadReports.trimmedHistory(now), sample{at: now, running: u.counts.Running})
	}
}

// trimmedHistory returns the history without the samples that are older than the one reported at now.
func (r *loadReports) trimmedHistory(now time.Time) []sample {
	reportTime := now.Add(-r.delay)
	firstAfter := slices.IndexFunc(r.history, func(s sample) bool { return s.at.After(reportTime) })
	if firstAfter < 0 {
		firstAfter = len(r.history)
	}
	return r.history[max(0, firstAfter-1):]
}

// startRun counts a run and returns its number among the runs with the same idempotency key, and its service time.
func (u *upstream) startRun(key string) (int64, time.Duration) {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Runs++
	if u.drainMarked {
		u.counts.RunsAfterDrain++
		u.counts.LastRunAfterDrain = Milliseconds(now.Sub(u.drainMarkedAt).Milliseconds())
	}
	serviceTime := u.config.ServiceTime.Duration()
	if u.config.ColdFactor > 0 && now.Before(u.coldUntil) &&
		(u.config.WarmupRequests == 0 || u.runsSinceStart < u.config.WarmupRequests) {
		serviceTime = time.Duration(float64(serviceTime) * u.config.ColdFactor)
	}
	u.runsSinceStart++
	return u.totals.countRun(key), serviceTime
}

func (u *upstream) setDrainMark(marked bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainMarked = marked
	u.drainMarkedAt = time.Now()
	u.counts.RunsAfterDrain, u.counts.LastRunAfterDrain = 0, 0
}

func (u *upstream) currentConfig() Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.config
}

func (u *upstream) snapshot() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// serveLoad handles GET /load.
func (u *upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	running, slots, failing := u.reportedRunning(time.Now()), u.config.Slots, u.loadReports.failing
	u.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Running int      `json:"running"`
		Slots   id.Slots `json:"slots"`
	}{running, slots})
}

func (u *upstream) reportedRunning(now time.Time) int {
	if u.loadReports.override >= 0 {
		return u.loadReports.override
	}
	if u.loadReports.delay == 0 {
		return u.counts.Running
	}
	u.loadReports.history = u.loadReports.trimmedHistory(now)
	return u.loadReports.history[0].running
}

// totals counts runs and concurrent requests over all upstreams.
type totals struct {
	mu          sync.Mutex
	runsByKey   map[string]int64
	concurrency map[string]*Concurrency
}

// Concurrency is the current and the peak number of concurrent requests in a region, or for one service of a region.
type Concurrency struct {
	Running int `json:"running"`
	Peak    int `json:"peak"`
}

func newTotals() *totals {
	return &totals{runsByKey: make(map[string]int64), concurrency: make(map[string]*Concurrency)}
}

// countRun counts a run with the idempotency key and returns its number; it returns 0 for an empty key.
func (t *totals) countRun(key string) int64 {
	if key == "" {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runsByKey[key]++
	return t.runsByKey[key]
}

func (t *totals) addRunning(config Upstream, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	region := string(config.Region)
	for _, scope := range []string{region, region + "/" + string(config.Service)} {
		concurrency := t.concurrency[scope]
		if concurrency == nil {
			concurrency = &Concurrency{}
			t.concurrency[scope] = concurrency
		}
		concurrency.Running += delta
		concurrency.Peak = max(concurrency.Peak, concurrency.Running)
	}
}

// testOptions are the headers by which a test controls one request; a negative breakAfter or responseSize is unset.
type testOptions struct {
	crash        bool
	extraTime    time.Duration
	breakAfter   int
	responseSize int
	timeout      time.Duration
	hasTimeout   bool
}

// maxHeaderNumber limits the numbers in these headers, and so a response to 1 GiB.
const maxHeaderNumber = 1 << 30

func parseTestOptions(header http.Header) (testOptions, error) {
	options := testOptions{crash: header.Get("Test-Crash") == "yes", breakAfter: -1, responseSize: -1}
	for name, set := range map[string]func(int){
		"Test-Slow":       func(n int) { options.extraTime = Milliseconds(n).Duration() },
		"Test-Break":      func(n int) { options.breakAfter = n },
		"Test-Size":       func(n int) { options.responseSize = n },
		"Request-Timeout": func(n int) { options.timeout, options.hasTimeout = Milliseconds(n).Duration(), true },
	} {
		text := header.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxHeaderNumber {
			return testOptions{}, &ConfigError{Field: name, Found: text, Allowed: "0 to 1073741824"}
		}
		set(n)
	}
	return options, nil
}
