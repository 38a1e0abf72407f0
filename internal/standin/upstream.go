package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bluebellhold/id"
)

// UpstreamCounts counts what one upstream did.
//
// Runs counts requests whose work was started, Done those that were finished, Cancelled those that were stopped
// before. Keyed counts requests that carried an Authorization header. Late counts runs that were started after the
// drain mark and Last is the time of the last of them after the mark.
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

// upstream is one simulated server; a death drops its connections while the process goes on.
type upstream struct {
	endpoint
	tally *tally

	m         sync.Mutex
	config    Upstream
	reports   reports
	coldUntil time.Time
	warmed    int
	counts    UpstreamCounts
	draining  bool
	mark      time.Time
}

// reports is how GET /load answers: Lag ms late, with Lie in place of the running requests unless it is negative, or
// not at all if Mute is set. History holds recent numbers of running requests, oldest first.
type reports struct {
	lag     time.Duration
	lie     int
	mute    bool
	history []sample
}

type sample struct {
	at      time.Time
	running int
}

func newUpstream(config Upstream, t *tally) *upstream {
	u := &upstream{tally: t, config: config, reports: reports{lie: -1}}
	u.handler = http.HandlerFunc(u.serve)
	u.address = config.Address
	return u
}

// revive starts the upstream cold.
func (u *upstream) revive() error {
	u.m.Lock()
	u.coldUntil = time.Now().Add(u.config.ColdPeriod.Duration())
	u.warmed = 0
	u.m.Unlock()
	return u.up()
}

func (u *upstream) crash() {
	if !u.downFor(u.settings().Outage.Duration(), func() { _ = u.revive() }) {
		return
	}
	u.m.Lock()
	defer u.m.Unlock()
	u.counts.Crashes++
}

// acquire takes a slot or reports that all are busy.
func (u *upstream) acquire(r *http.Request) bool {
	u.m.Lock()
	defer u.m.Unlock()
	if r.Header.Get("Authorization") != "" {
		u.counts.WithAuthorization++
	}
	if u.counts.Running >= int(u.config.Slots) {
		u.counts.Shed++
		return false
	}
	u.move(1)
	return true
}

func (u *upstream) release(outcome *int64) {
	u.m.Lock()
	defer u.m.Unlock()
	*outcome++
	u.move(-1)
}

// move changes the number of running requests; the mutex is held.
func (u *upstream) move(by int) {
	now := time.Now()
	u.counts.Running += by
	u.counts.Peak = max(u.counts.Peak, u.counts.Running)
	u.tally.move(u.config, by)
	if u.reports.lag > 0 {
		u.reports.history = append(u.reports.trimmed(now), sample{at: now, running: u.counts.Running})
	}
}

// trimmed drops all samples that are older than the one that is reported now.
func (r *reports) trimmed(now time.Time) []sample {
	shown := now.Add(-r.lag)
	next := slices.IndexFunc(r.history, func(s sample) bool { return s.at.After(shown) })
	if next < 0 {
		next = len(r.history)
	}
	return r.history[max(0, next-1):]
}

// begin counts a run and returns the run's number for its idempotency key and its service time.
func (u *upstream) begin(key string) (int64, time.Duration) {
	now := time.Now()
	u.m.Lock()
	defer u.m.Unlock()
	u.counts.Runs++
	if u.draining {
		u.counts.RunsAfterDrain++
		u.counts.LastRunAfterDrain = Milliseconds(now.Sub(u.mark).Milliseconds())
	}
	took := u.config.ServiceTime.Duration()
	if u.config.ColdFactor > 0 && now.Before(u.coldUntil) && (u.config.WarmupRequests == 0 || u.warmed < u.config.WarmupRequests) {
		took = time.Duration(float64(took) * u.config.ColdFactor)
	}
	u.warmed++
	return u.tally.run(key), took
}

func (u *upstream) drain(draining bool) {
	u.m.Lock()
	defer u.m.Unlock()
	u.draining = draining
	u.mark = time.Now()
	u.counts.RunsAfterDrain, u.counts.LastRunAfterDrain = 0, 0
}

func (u *upstream) settings() Upstream {
	u.m.Lock()
	defer u.m.Unlock()
	return u.config
}

func (u *upstream) counted() UpstreamCounts {
	u.m.Lock()
	defer u.m.Unlock()
	return u.counts
}

// load answers GET /load.
func (u *upstream) load(w http.ResponseWriter) {
	u.m.Lock()
	running, slots, mute := u.reported(time.Now()), u.config.Slots, u.reports.mute
	u.m.Unlock()
	if mute {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply(w, http.StatusOK, struct {
		Running int      `json:"running"`
		Slots   id.Slots `json:"slots"`
	}{running, slots})
}

func (u *upstream) reported(now time.Time) int {
	if u.reports.lie >= 0 {
		return u.reports.lie
	}
	if u.reports.lag == 0 {
		return u.counts.Running
	}
	u.reports.history = u.reports.trimmed(now)
	return u.reports.history[0].running
}

// tally counts over all upstreams.
type tally struct {
	m      sync.Mutex
	keys   map[string]int64
	places map[string]*Concurrency
}

// Place counts requests that run at the same time in a region, or in a region for one service.
type Concurrency struct {
	Running int `json:"running"`
	Peak    int `json:"peak"`
}

func newTally() *tally {
	return &tally{keys: make(map[string]int64), places: make(map[string]*Concurrency)}
}

// run counts a run of the idempotency key and returns its number.
func (t *tally) run(key string) int64 {
	if key == "" {
		return 0
	}
	t.m.Lock()
	defer t.m.Unlock()
	t.keys[key]++
	return t.keys[key]
}

func (t *tally) move(config Upstream, by int) {
	t.m.Lock()
	defer t.m.Unlock()
	region := string(config.Region)
	for _, name := range []string{region, region + "/" + string(config.Service)} {
		place := t.places[name]
		if place == nil {
			place = &Concurrency{}
			t.places[name] = place
		}
		place.Running += by
		place.Peak = max(place.Peak, place.Running)
	}
}

// marks are the headers by which a test steers one request.
type marks struct {
	crash   bool
	slow    time.Duration
	breakAt int
	size    int
	timeout time.Duration
	timed   bool
}

// maxSize bounds an answer of a marked request.
const maxSize = 1 << 30

func readMarks(header http.Header) (marks, error) {
	m := marks{crash: header.Get("Test-Crash") == "yes", breakAt: -1, size: -1}
	for name, set := range map[string]func(int){
		"Test-Slow":       func(n int) { m.slow = Milliseconds(n).Duration() },
		"Test-Break":      func(n int) { m.breakAt = n },
		"Test-Size":       func(n int) { m.size = n },
		"Request-Timeout": func(n int) { m.timeout, m.timed = Milliseconds(n).Duration(), true },
	} {
		text := header.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxSize {
			return marks{}, &ConfigError{Field: name, Found: text, Allowed: "0 to 1073741824"}
		}
		set(n)
	}
	return m, nil
}
