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

// The organisations of the scenarios: one large and one whose rate is below one request a second per instance.
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

// firstNote adds the organisations, each with the key "key-of-NAME", and the stand-in's services.
func firstNote(upstreams map[id.Service][]standin.Upstream) note.Note {
	add := note.Entries{
		Organisations: organisations,
		Keys:          map[id.Key]note.Key{},
		Services:      map[id.Service]note.Service{},
	}
	for name := range organisations {
		digest := id.DigestOf([]byte("key-of-" + string(name)))
		add.Keys[id.Key(name+"-1")] = note.Key{Organisation: name, Digest: digest}
	}
	for service, servers := range upstreams {
		all := map[id.Upstream]note.Upstream{}
		for _, u := range servers {
			all[u.Name] = note.Upstream{Region: u.Region, DataCentre: u.DataCentre, Address: u.Address, Slots: u.Slots}
		}
		add.Services[service] = note.Service{Routes: routes[service], Upstreams: all}
	}
	return note.Note{ID: "first", Add: add}
}

// startFleet starts the stand-in and all instances, applies the first note and waits until each instance serves.
func startFleet(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	ts.Check(w.start("standin", "standin", []string{"--settings", "standin.json"}))
	for _, name := range w.instances() {
		ts.Check(w.start(name, "bluebellholdd", []string{"--settings", name + ".json"}))
	}
	ts.Check(ts.Exec("bluebellhold", "--operator", w.addresses["osrednja-1:operator"], "--token", "operators.token",
		"apply", "note.json"))
	for _, name := range w.instances() {
		await(ts, false, []string{
			"^status 200$", "request", name, http.MethodGet, "/service/pregled/draws/1",
			"Authorization=Bearer key-of-podjetje",
		})
	}
}

func (w *world) instances() []string {
	var names []string
	for _, i := range w.fleet.Instances {
		names = append(names, string(i.Name))
	}
	return names
}

// load is a number of callers that send requests until they are told to end.
type load struct {
	stop    chan struct{}
	callers sync.WaitGroup
	sent    atomic.Int64
	ok      atomic.Int64
	cut     atomic.Int64
	m       sync.Mutex
	refused map[string]int
	slowest time.Duration
}

const loadCallers = 8

// startLoad is "load NAME SERVICE METHOD PATH RATE TARGET...": it sends RATE requests a second to the targets in turn,
// each with an idempotency key of its own; a caller that is refused a connection goes to the next target.
func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 6 {
		ts.Fatalf("usage: load NAME SERVICE METHOD PATH RATE TARGET...")
	}
	rate, err := strconv.Atoi(args[4])
	ts.Check(err)
	w := worldOf(ts)
	l := &load{stop: make(chan struct{}), refused: map[string]int{}}
	w.loads[args[0]] = l
	for caller := range loadCallers {
		l.callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			ticker := time.NewTicker(time.Second * loadCallers / time.Duration(rate))
			defer ticker.Stop()
			for n := 0; ; n++ {
				key := fmt.Sprintf("%s-%d-%d", args[0], caller, n)
				l.send(w, client, args[1:4], args[5:], n+caller, key)
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
			}
		})
	}
}

func (l *load) send(w *world, client *http.Client, what, targets []string, n int, key string) {
	l.sent.Add(1)
	started := time.Now()
	for try := range targets {
		address := w.addresses[targets[(n+try)%len(targets)]]
		call, err := http.NewRequest(what[1], "http://"+address+"/service/"+what[0]+what[2], nil)
		if err != nil {
			panic(err)
		}
		call.Header.Set("Authorization", "Bearer key-of-podjetje")
		call.Header.Set("Idempotency-Key", key)
		response, err := client.Do(call)
		if err != nil {
			if strings.Contains(err.Error(), "connection refused") {
				continue
			}
			l.cut.Add(1)
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		l.count(response.StatusCode, string(body), err, time.Since(started))
		return
	}
	l.cut.Add(1)
}

func (l *load) count(status int, body string, err error, took time.Duration) {
	l.m.Lock()
	defer l.m.Unlock()
	l.slowest = max(l.slowest, took)
	switch {
	case err != nil:
		l.cut.Add(1)
	case status == http.StatusOK:
		l.ok.Add(1)
	default:
		l.refused[fmt.Sprintf("%d %s", status, strings.TrimSpace(body))]++
	}
}

// endLoad is "endload NAME": it prints what became of the requests.
func endLoad(ts *testscript.TestScript, _ bool, args []string) {
	l := worldOf(ts).loads[args[0]]
	close(l.stop)
	l.callers.Wait()
	refused := 0
	for _, n := range l.refused {
		refused += n
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "sent %d ok %d cut %d refused %d\n%v\nslowest %v\n",
		l.sent.Load(), l.ok.Load(), l.cut.Load(), refused, l.refused, l.slowest)
}

// ranOnce checks that the upstreams ran no idempotency key of a route that must not be repeated more than once; the
// keys of such requests start with "once".
func ranOnce(ts *testscript.TestScript, _ bool, args []string) {
	seen := 0
	for key, runs := range standinCounts(ts).RunsByKey {
		if !strings.HasPrefix(key, "once") {
			continue
		}
		seen++
		if runs != 1 {
			ts.Fatalf("the upstreams ran %s %d times", key, runs)
		}
	}
	if least := number(ts, args); seen < least {
		ts.Fatalf("the upstreams ran %d keys only, not %d", seen, least)
	}
}

// crashes is "crashes MOST": it checks that marked requests crashed at least one upstream and at most MOST.
func crashes(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, u := range standinCounts(ts).Upstreams {
		total += int(u.Crashes)
	}
	if most := number(ts, args); total == 0 || total > most {
		ts.Fatalf("%d upstreams crashed, not 1 to %d", total, most)
	}
}

func number(ts *testscript.TestScript, args []string) int {
	if len(args) != 1 {
		ts.Fatalf("the command needs a number")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	return n
}

func standinCounts(ts *testscript.TestScript) standin.Counts {
	text, err := queries["counts"].run(worldOf(ts), nil)
	ts.Check(err)
	var all standin.Counts
	ts.Check(json.Unmarshal([]byte(text[strings.IndexByte(text, '{'):]), &all))
	return all
}
