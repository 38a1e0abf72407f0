package scenario_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bluebellhold/id"
	"bluebellhold/internal/standin"
	"bluebellhold/note"
)

// The organisations of the scenarios: one has a high rate, the other one below one request per second per instance.
var (
	organisations = map[id.Organisation]note.Organisation{
		"podjetje": {Rate: 400, Burst: 400},
		"zbor":     {Rate: 3, Burst: 4},
	}
	routes = map[id.Service][]note.Route{
		"pregled":   {{Path: "/draws", Idempotent: true}, {Path: "/welcome", Idempotent: true, Public: true}},
		"zrebalnik": {{Path: "/draws", Methods: []string{"POST"}}},
		"darila":    {{Path: "/albums", Idempotent: true, Class: note.Bulk}},
	}
)

// initialNote adds the organisations, each with the key "key-of-NAME", and the stand-in's services.
func initialNote(upstreams map[id.Service][]standin.Upstream) note.Note {
	add := note.Entries{
		Organisations: organisations,
		Keys:          map[id.Key]note.Key{},
		Services:      map[id.Service]note.Service{},
	}
	for name := range organisations {
		digest := id.DigestOf([]byte("key-of-" + string(name)))
		add.Keys[id.Key(name+"-1")] = note.Key{Organisation: name, Digest: digest}
	}
	for service, configs := range upstreams {
		added := map[id.Upstream]note.Upstream{}
		for _, u := range configs {
			added[u.Name] = note.Upstream{Region: u.Region, DataCentre: u.DataCentre, Address: u.Address, Slots: u.Slots}
		}
		add.Services[service] = note.Service{Routes: routes[service], Upstreams: added}
	}
	return note.Note{ID: "first", Add: add}
}

// startFleet starts the stand-in and all instances, applies the initial note and waits until each instance serves
// requests.
func startFleet(ts *testscript.TestScript, _ bool, _ []string) {
	e := scriptEnvOf(ts)
	ts.Check(e.start("standin", "standin", []string{"--settings", "standin.json"}))
	for _, name := range e.instanceNames() {
		ts.Check(e.start(name, "bluebellholdd", []string{"--settings", name + ".json"}))
	}
	ts.Check(ts.Exec("bluebellhold", "--operator", e.addresses["osrednja-1:operator"], "--token", "operators.token",
		"apply", "note.json"))
	for _, name := range e.instanceNames() {
		await(ts, false, []string{
			"^status 200$", "request", name, http.MethodGet, "/service/pregled/draws/1",
			"Authorization=Bearer key-of-podjetje",
		})
	}
}

func (e *scriptEnv) instanceNames() []string {
	var names []string
	for _, i := range e.fleet.Instances {
		names = append(names, string(i.Name))
	}
	return names
}

// load is a group of concurrent callers that send requests until stop is closed; broken counts the requests without a
// complete response.
type load struct {
	stop       chan struct{}
	callers    sync.WaitGroup
	sent       atomic.Int64
	succeeded  atomic.Int64
	broken     atomic.Int64
	mu         sync.Mutex
	refused    map[string]int
	maxLatency time.Duration
}

const callersPerLoad = 8

// startLoad is "load NAME SERVICE METHOD PATH RATE TARGET...": it sends RATE requests per second to the targets in
// turn, each with an idempotency key of its own; a caller whose connection is refused tries the next target.
func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 6 {
		ts.Fatalf("usage: load NAME SERVICE METHOD PATH RATE TARGET...")
	}
	rate, err := strconv.Atoi(args[4])
	ts.Check(err)
	e := scriptEnvOf(ts)
	l := &load{stop: make(chan struct{}), refused: map[string]int{}}
	e.loads[args[0]] = l
	for caller := range callersPerLoad {
		l.callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			ticker := time.NewTicker(time.Second * callersPerLoad / time.Duration(rate))
			defer ticker.Stop()
			for n := 0; ; n++ {
				key := fmt.Sprintf("%s-%d-%d", args[0], caller, n)
				l.send(e, client, args[1:4], args[5:], n+caller, key)
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
			}
		})
	}
}

func (l *load) send(e *scriptEnv, client *http.Client, route, targets []string, n int, key string) {
	l.sent.Add(1)
	started := time.Now()
	for attempt := range targets {
		address := e.addresses[targets[(n+attempt)%len(targets)]]
		httpRequest, err := http.NewRequest(route[1], "http://"+address+"/service/"+route[0]+route[2], nil)
		if err != nil {
			panic(err)
		}
		httpRequest.Header.Set("Authorization", "Bearer key-of-podjetje")
		httpRequest.Header.Set("Idempotency-Key", key)
		response, err := client.Do(httpRequest)
		if err != nil {
			if strings.Contains(err.Error(), "connection refused") {
				continue
			}
			l.broken.Add(1)
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		l.record(response.StatusCode, string(body), err, time.Since(started))
		return
	}
	l.broken.Add(1)
}

func (l *load) record(status int, body string, err error, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxLatency = max(l.maxLatency, latency)
	switch {
	case err != nil:
		l.broken.Add(1)
	case status == http.StatusOK:
		l.succeeded.Add(1)
	default:
		l.refused[fmt.Sprintf("%d %s", status, strings.TrimSpace(body))]++
	}
}

// endLoad is "endload NAME": it stops a load and prints the counts of its requests by result.
func endLoad(ts *testscript.TestScript, _ bool, args []string) {
	l := scriptEnvOf(ts).loads[args[0]]
	close(l.stop)
	l.callers.Wait()
	refused := 0
	for _, n := range l.refused {
		refused += n
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "sent %d ok %d cut %d refused %d\n%v\nslowest %v\n",
		l.sent.Load(), l.succeeded.Load(), l.broken.Load(), refused, l.refused, l.maxLatency)
}

// checkRunOnce is "once MIN": it checks that the upstreams ran each idempotency key of a non-idempotent route exactly
// once, and at least MIN such keys; they start with "once".
func checkRunOnce(ts *testscript.TestScript, _ bool, args []string) {
	keyCount := 0
	for key, runs := range standinCounts(ts).RunsByKey {
		if !strings.HasPrefix(key, "once") {
			continue
		}
		keyCount++
		if runs != 1 {
			ts.Fatalf("the upstreams ran %s %d times", key, runs)
		}
	}
	if minKeys := numberArgument(ts, args); keyCount < minKeys {
		ts.Fatalf("the upstreams ran %d keys, want at least %d", keyCount, minKeys)
	}
}

// checkCrashes is "crashes MAX": it checks that requests with Test-Crash crashed at least one upstream and at most MAX.
func checkCrashes(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, u := range standinCounts(ts).Upstreams {
		total += int(u.Crashes)
	}
	if maxCrashes := numberArgument(ts, args); total == 0 || total > maxCrashes {
		ts.Fatalf("%d upstreams crashed, want 1 to %d", total, maxCrashes)
	}
}

func numberArgument(ts *testscript.TestScript, args []string) int {
	if len(args) != 1 {
		ts.Fatalf("the command needs one number")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	return n
}

func standinCounts(ts *testscript.TestScript) standin.Counts {
	text, err := queries["counts"].run(scriptEnvOf(ts), nil)
	ts.Check(err)
	var all standin.Counts
	ts.Check(json.Unmarshal([]byte(text[strings.IndexByte(text, '{'):]), &all))
	return all
}
