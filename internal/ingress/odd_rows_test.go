package ingress_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/platform"
	"bluebellhold/store"
)

// oddRowValues are values of rows that another writer may leave.
func oddRowValues() map[string]string {
	const levels = 100_000
	digits := strings.Repeat("9", 400)
	server := func(address, slots, cold string) string {
		return fmt.Sprintf(`{"address":%s,"born":5,"info":{"service":"pregled","zone":"osrednja-a","slots":%s},"status":{"state":"ready","sequence":1,"coldLeft":%s}}`,
			address, slots, cold)
	}
	return map[string]string{
		"deep":       strings.Repeat("[", levels) + strings.Repeat("]", levels),
		"deep field": server(strings.Repeat(`{"a":`, levels)+"1"+strings.Repeat("}", levels), "4", `"0ms"`),
		"slots":      server(`"127.0.0.1:1"`, digits, `"0ms"`), "slots max": server(`"127.0.0.1:1"`, "9223372036854775807", `"0ms"`),
		"port": server(`"127.0.0.1:99999999999"`, "4", `"0ms"`), "port 0": server(`"127.0.0.1:0"`, "4", `"0ms"`),
		"port -1": server(`"127.0.0.1:-1"`, "4", `"0ms"`), "cold": server(`"127.0.0.1:1"`, "4", `"1e99s"`),
		"cold years": server(`"127.0.0.1:1"`, "4", `"2562047h"`), "name": server(`"`+strings.Repeat("x", 1<<20)+`"`, "4", `"0ms"`),
		"empty": "", "null": "null", "bytes": "\xff\xfe\x00", "cut": server(`"127.0.0.1:1"`, "4", `"0m`),
		"twice": strings.Replace(server(`"127.0.0.1:1"`, "4", `"0ms"`), "{", `{"address":"127.0.0.1:0","info":{"slots":1e9},`, 1) + "{}",
	}
}

const (
	oddMember = `{"address":"10.0.0.7:80","region":"osrednja","datacentre":"osrednja-a","peer":"10.0.0.7:99999","link":9223372036854775807,"seen":18446744073709551615,"started":-9223372036854775808,"work":{"pregled":1e308},"bound":{"pregled":{"osrednja":-1e308}},"kept":{"pregled":-7},"suspects":[{"digest":"0000000000000000000000000000000000000000000000000000000000000000","upstreams":null,"age":-9223372036854775808}],"limits":[{"upstream":"u0","process":5,"rate":1e308,"age":9223372036854775807}],"leavers":[{"upstream":"u0","process":5,"age":9223372036854775807}]}`
	oddGroup  = `{"writer":"x","size":-5,"demand":{"school":1e308},"held":{"school":-100}}`
)

// Guards against an odd row in a table that ends the process, stops the reading of the table or fills the log. The other rows
// hold, and changes are still noticed.
func TestOddRowsDoNotStopTheReading(t *testing.T) {
	var served [2]chan struct{}
	respond := func(n int) func(net.Conn) {
		served[n] = make(chan struct{}, 1000)
		return serveWith(func(r *http.Request) string {
			served[n] <- struct{}{}
			return responseTo(r, "ok")
		})
	}
	h := newHarness(t, respond(0))
	for range 3 {
		// Rewritten rows are read again.
		for name, value := range oddRowValues() {
			h.feed.put(platform.ServersTable, "odd "+name, []byte(value))
			h.feed.put(platform.OperatorTable, "odd "+name, []byte(value))
			h.feed.put("members", "odd "+name, []byte(value))
			h.feed.put("groups", "odd "+name, []byte(value))
			h.feed.put("documents", "odd "+name, []byte(value))
			h.feed.put("secrets", "odd "+name, []byte(value))
		}
		h.feed.put("members", "odd values", []byte(oddMember))
		h.feed.put("groups", "odd values", []byte(oddGroup))
		time.Sleep(1200 * time.Millisecond)
	}
	for n := range 5 {
		status, body := h.do("GET", fmt.Sprint("/look/", n))
		require.Equal(t, http.StatusOK, status, body)
	}
	h.serveUpstream("later", respond(1))
	require.Eventually(t, func() bool {
		for n := range 10 {
			r := h.request("GET", fmt.Sprint("/look/later/", n), "")
			r.Header.Set("Cookie", fmt.Sprint("X-Bluebellhold-Affinity-Key=", n))
			response, err := h.client.Do(r)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		return len(served[1]) > 0
	}, 8*time.Second, 50*time.Millisecond, "a new upstream is not noticed")
	lines := strings.Split(h.log.String(), "\n")
	counts := make(map[string]int)
	for _, line := range lines {
		require.Less(t, len(line), 1024)
		if _, rest, ok := strings.Cut(line, " row="); ok {
			counts[line[:strings.Index(line, " row=")]+" "+strings.SplitN(rest, " error=", 2)[0]]++
		}
	}
	require.NotEmpty(t, counts)
	for line, n := range counts {
		require.Equal(t, 1, n, line)
	}
	require.NotContains(t, h.log.String(), "store: lost")
}

// Guards against an instance that can't write its heartbeat because its predecessor's row holds a number too large.
func TestOddHeartbeatOfThePredecessorIsReplaced(t *testing.T) {
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}}
	h.client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	h.feed.put("members", "osrednja-1", []byte(strings.ReplaceAll(oddMember, "-9223372036854775808", "1")))
	isReady := h.startUnready("osrednja-1")
	time.Sleep(3 * time.Second)
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	h.serveUpstream("u0", serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	require.Eventually(t, isReady, 10*time.Second, 10*time.Millisecond, h.log.String())
	row := func() (value struct {
		Started int64                         `json:"started"`
		Work    map[string]float64            `json:"work"`
		Bound   map[string]map[string]float64 `json:"bound"`
	},
	) {
		require.NoError(t, json.Unmarshal(h.feed.changesSince("members", 0).Rows[0].Value, &value))
		return value
	}
	require.Greater(t, row().Started, int64(1))
	require.NotContains(t, row().Work, "pregled")
	require.NotContains(t, h.log.String(), "store: lost")
}

// Guards against a group whose row holds numbers that no group has and that change the limits of others.
func TestOddGroupRowHoldsNothing(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	limited := strings.Replace(strings.Replace(document, `"version":7`, `"version":8`, 1), `"ratePerS":0`, `"ratePerS":20,"burst":5`, 1)
	h.feed.put(platform.OperatorTable, "config", []byte(limited))
	h.feed.put("groups", "odd", []byte(oddGroup))
	require.Eventually(t, func() bool { return strings.Contains(h.log.String(), "groups: invalid row") }, 8*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		status, _ := h.do("GET", "/look/1")
		return status == http.StatusOK
	}, 8*time.Second, 100*time.Millisecond)
	for _, row := range h.feed.changesSince("groups", 0).Rows {
		if row.Name != "odd" {
			var value struct {
				Held map[string]float64 `json:"held"`
			}
			require.NoError(t, json.Unmarshal(row.Value, &value))
			require.LessOrEqual(t, value.Held["school"], 1.01)
		}
	}
}

// Guards against a row of the instances' own tables that ends the process, whatever its bytes, or makes values that can't be
// published.
func FuzzOwnRows(f *testing.F) {
	f.Add([]byte(oddMember), []byte(oddGroup))
	f.Add([]byte(`{"address":"10.0.0.7:80","region":"koper","peer":"10.0.0.7:81","started":3,"work":{"pregled":2},"vouched":["koper-2"],"severed":["koper-1"]}`),
		[]byte(`{"writer":"osrednja-1","started":1,"size":3,"demand":{"school":7.5},"held":{"school":0.4}}`))
	f.Add([]byte("null"), []byte("null"))
	f.Fuzz(func(t *testing.T, heartbeat, group []byte) {
		now := time.Unix(1000, 0)
		s := entry.New(entry.Config{Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-a", StartTime: 1})
		s.Reduce(now, entry.ConfigurationChanged{Configuration: entry.Configuration{
			Version: 1, Organisations: map[id.Organisation]entry.Organisation{"school": {Rate: 10}}, Services: map[id.Service]entry.Service{"pregled": {}},
		}})
		s.Reduce(now, entry.UpstreamsChanged{Upstreams: []entry.Upstream{{ID: "u0", Service: "pregled", Region: "osrednja", Slots: 4, Incarnation: 5}}})
		for n := range uint64(4) {
			now = now.Add(2 * time.Second)
			members := []entry.Member{{Instance: "osrednja-1", Version: n + 1, StartTime: 1}}
			for _, name := range []string{"koper-1", "osrednja-1"} {
				if m, err := ingress.DecodeHeartbeat(store.Change{Name: name, Version: n + 1, Value: heartbeat}); err == nil {
					members = append(members, m)
				}
			}
			s.Reduce(now, entry.MembersRead{Members: members})
			groups := []entry.GroupRow{{Group: "osrednja", Writer: "osrednja-1", StartTime: 1, Version: n + 1, Size: 1}}
			if g, err := ingress.DecodeGroup("koper", store.Change{Name: "koper", Version: n + 1, Value: group}); err == nil {
				groups = append(groups, g)
			}
			s.Reduce(now, entry.GroupsRead{Groups: groups})
			s.Reduce(now, entry.Tick{})
			row, _ := s.GroupRow(now)
			for _, values := range []any{row.Demand, row.Shares, s.OfferedLoad(now), s.PinnedLoad(now), s.LocalShares()} {
				_, err := json.Marshal(values)
				require.NoError(t, err)
			}
			for _, share := range row.Shares {
				require.True(t, share >= 0 && share <= 1.01, share)
			}
		}
	})
}
