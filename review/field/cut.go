package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The bounds and the limit of the case.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20.0

	limitRate  = 250.0
	limitBurst = 250.0
	// cutLength is how long the instances are cut off: two cuts of 12 s, one after the other. cutEnd is the time after it.
	cutLength = 24 * time.Second
	cutEnd    = 8 * time.Second
	// warmUp is the time until the regions have divided the limit by their demand.
	warmUp = 13 * time.Second
)

// demands are the rates of the tenant's requests by instance, in requests a second.
var demands = []int{400, 400, 400, 30, 30, 30}

// isCutOff are the instances that are cut off: those of ljubljana-a, a third of all.
var isCutOff = []bool{false, true, true, false, false, false}

// sentRequest is a request of a client.
type sentRequest struct {
	id, tenant string
	sentAt     time.Time
	status     int
}

// load sends the requests of a tenant.
type load struct {
	*field
	client http.Client

	mu   sync.Mutex
	sent []*sentRequest
}

// runCut cuts the instances of a zone off from the store and from all other instances, and checks QUOTA.
func runCut(f *field) (bool, error) {
	services := []string{"pregled"}
	routes := []route{{"r-1", "/pregled/", "safe", "pregled", "2000ms", "400ms"}}
	t := tenant{name: "sola", key: "key-of-sola", rate: limitRate, burst: limitBurst}
	for zone := range regions {
		for range 3 {
			if err := f.addServer("pregled", zone, 12, 15*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	f.configure(3, services, routes, []tenant{t})
	if err := f.startInstances(); err != nil {
		return false, err
	}
	l := &load{field: f, client: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 3 * time.Second,
	}}
	for n, perSecond := range demands {
		go l.sendAll(t, n, perSecond)
	}
	time.Sleep(warmUp)
	from := time.Now()
	if f.hasTrouble {
		f.cut()
	}
	time.Sleep(cutLength)
	if f.hasTrouble {
		f.heal()
	}
	time.Sleep(cutEnd)
	return l.check([]tenant{t}, from), nil
}

// cut cuts instances off from the store and from all other instances. Those of the other region have no sessions with them.
func (f *field) cut() {
	f.note("cut")
	for n, i := range f.instances {
		if regions[i.zone] == "osrednja" {
			i.peerLink.cut()
		}
		if isCutOff[n] {
			i.storeLink.cut()
		}
	}
}

// heal ends the cut.
func (f *field) heal() {
	f.note("the cut is over")
	for _, i := range f.instances {
		i.peerLink.heal()
		i.storeLink.heal()
	}
}

// sendAll sends the tenant's requests to an instance until the end of the case.
func (l *load) sendAll(t tenant, to, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			id := fmt.Sprintf("%s-%d-%d", t.name, to, n)
			go l.send(t, l.instances[to], id, "/pregled/"+id)
		case <-l.done:
			return
		}
	}
}

// send sends one request and returns the status of its answer, 0 if there is none.
func (l *load) send(t tenant, to *instance, id, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+to.callers+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Bluebellhold-Attempt-Id", id)
	request.Header.Set("X-Bluebellhold-Deadline-Ms", "2500")
	request.Header.Set("Authorization", "Bearer "+t.key)
	r := &sentRequest{id: id, tenant: t.name, sentAt: time.Now()}
	response, err := l.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		r.status = response.StatusCode
	}
	l.log("request %s of %s sent %.3f to %s: %d", id, t.name, r.sentAt.Sub(l.startedAt).Seconds(), to.name, r.status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, r)
	return r.status
}

// check reports whether QUOTA holds for all windows that begin after a time.
func (l *load) check(tenants []tenant, from time.Time) bool {
	runs := l.allRuns()
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := (limitRate*quotaWindow.Seconds()+limitBurst)*(1+quotaExcess) + quotaSlack
	held := true
	for _, t := range tenants {
		most, at := l.mostInWindow(t.name, runs, from)
		if float64(most) > allowed {
			held = false
		}
		l.note("%s: at most %d requests sent and run within %s, from %.1f s on; allowed are %.0f", t.name, most, quotaWindow,
			at.Sub(l.startedAt).Seconds(), allowed)
	}
	statuses := make(map[int]int)
	for _, r := range l.sent {
		statuses[r.status]++
	}
	l.note("answers by status: %s", strings.TrimPrefix(fmt.Sprint(statuses), "map"))
	return held
}

// mostInWindow returns the most requests of a tenant that were both sent and run within a window, and where it begins.
func (l *load) mostInWindow(name string, runs map[string][]runRecord, from time.Time) (most int, at time.Time) {
	type span struct{ sentAt, ranAt time.Time }
	var spans []span
	for _, r := range l.sent {
		for _, run := range runs[r.id] {
			if r.tenant == name && !r.sentAt.Before(from) {
				spans = append(spans, span{r.sentAt, run.begin})
			}
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sentAt.Before(spans[j].sentAt) })
	for i, first := range spans {
		n := 0
		for _, s := range spans[i:] {
			if s.sentAt.Sub(first.sentAt) > quotaWindow {
				break
			}
			if s.ranAt.Sub(first.sentAt) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sentAt
		}
	}
	return most, at
}
