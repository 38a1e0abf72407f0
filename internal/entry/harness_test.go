package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

var testStart = time.Unix(1000, 0)

// joinTime is the time after its start for which an instance does not join the fleet.
const joinTime = time.Second

var keyDigest = id.DigestOf([]byte("key"))

func bounds() entry.Bounds {
	return entry.Bounds{
		RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second,
		RateWindow: 5 * time.Second, RateExcess: 0.1, RateSlack: 20,
		ColdFactor: 1.5, ColdSlack: 5, GracePeriod: 6 * time.Second, LookupTTL: 5 * time.Second,
	}
}

func route(name id.Route, prefix string, idempotent bool, targets ...entry.Target) entry.Route {
	return entry.Route{
		ID: name, Host: "example", Prefix: prefix, Idempotent: idempotent, Targets: targets, Timeout: 2 * time.Second,
		LatencyObjective: 400 * time.Millisecond, MaxAttempts: 2, Sticky: true,
	}
}

func configuration() entry.Configuration {
	target := entry.Target{Service: "pregled", Weight: 1}
	open := route("open", "/open/", true, target)
	open.Public = true
	home := route("home", "/home/", true, target)
	home.Regions = []id.Region{"koper"}
	return entry.Configuration{
		Version: 1,
		Routes: []entry.Route{
			route("look", "/look/", true, target), route("draw", "/draw/", false, target), open, home,
			route("deep", "/look/deep/", true, entry.Target{Service: "darila", Weight: 1}),
			route("split", "/split/", true, entry.Target{Service: "pregled", Weight: 90},
				entry.Target{Service: "darila", Weight: 10}),
		},
		Services:      map[id.Service]entry.Service{"pregled": {ColdRate: 9.6}, "darila": {ColdRate: 9.6}},
		Organisations: map[id.Organisation]entry.Organisation{"school": {}},
		Keys:          map[id.Digest]id.Organisation{keyDigest: "school"},
	}
}

func upstreams() []entry.Upstream {
	var list []entry.Upstream
	for _, service := range []id.Service{"pregled", "darila"} {
		for _, region := range []id.Region{"osrednja", "koper"} {
			for _, n := range []string{"1", "2"} {
				list = append(list, entry.Upstream{
					ID: id.Upstream(string(service) + "-" + string(region) + "-" + n), Service: service,
					Address: "10.0.0.1:80", Region: region, DataCentre: id.DataCentre(string(region) + "-" + n), Slots: 4,
				})
			}
		}
	}
	return list
}

// harness is a State with a clock.
type harness struct {
	*testing.T
	state       *entry.State
	now         time.Time
	lastRequest id.Request
	// groupVersion is the version of the last row that syncGroups wrote.
	groupVersion uint64
}

// newStartingHarness returns an instance that has read nothing.
func newStartingHarness(t *testing.T) *harness {
	return &harness{T: t, now: testStart, state: entry.New(entry.Config{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-1", Bounds: bounds(), StartTime: 7,
	})}
}

// newHarness returns a ready instance that is alone in the fleet.
func newHarness(t *testing.T) *harness {
	h := &harness{T: t, now: testStart.Add(-joinTime), state: entry.New(entry.Config{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-1", Address: "10.0.0.9:80", Bounds: bounds(),
		StartTime: 1,
	})}
	h.reduce(entry.ConfigurationChanged{Configuration: configuration()})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	h.now = testStart
	h.reduce(entry.MembersRead{Members: []entry.Member{{Instance: "osrednja-1", Version: 1, StartTime: 1}}})
	return h
}

// limitRate gives the organisation a limit in a new configuration.
func (h *harness) limitRate(version uint64, rate id.TokensPerSecond, burst id.Tokens) {
	c := configuration()
	c.Version = version
	c.Organisations["school"] = entry.Organisation{Rate: rate, Burst: burst}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
}

// syncGroups writes the row of the group and reads it back beside those of other groups. It returns the published share.
func (h *harness) syncGroups(others ...entry.GroupRow) float64 {
	h.groupVersion++
	row, ok := h.state.GroupRow(h.now)
	rows := others
	if ok {
		row.Version = h.groupVersion
		rows = append([]entry.GroupRow{row}, others...)
	}
	h.reduce(entry.GroupsRead{Groups: rows})
	return row.Shares["school"]
}

// groupRow returns the row of another group.
func groupRow(name id.Group, share float64) entry.GroupRow {
	return entry.GroupRow{
		Group: name, Version: 1, Writer: "other", Size: 1, Shares: map[id.Organisation]float64{"school": share},
	}
}

// holdFreeShares claims what the other groups leave of the limit and waits until tokens may be given out.
func (h *harness) holdFreeShares(others ...entry.GroupRow) {
	for range 4 {
		h.syncGroups(others...)
	}
	h.now = h.now.Add(2 * time.Second)
	h.reduce(entry.Tick{})
}

func (h *harness) reduce(e entry.Event) []entry.Effect {
	return append([]entry.Effect(nil), h.state.Reduce(h.now, e)...)
}

// sendRequest sends a request with the key and returns its effects.
func (h *harness) sendRequest(path string) (id.Request, []entry.Effect) {
	h.lastRequest++
	return h.lastRequest, h.reduce(entry.RequestArrived{
		Request: h.lastRequest, Host: "example", Path: path, Object: "7", KeyDigest: keyDigest, HasKey: true,
		CallerTimeout: 2500 * time.Millisecond,
	})
}

// requireDispatch sends a request and returns its dispatch.
func (h *harness) requireDispatch(path string) entry.Dispatch {
	h.Helper()
	_, effects := h.sendRequest(path)
	require.Len(h, effects, 1)
	require.IsType(h, entry.Dispatch{}, effects[0])
	return effects[0].(entry.Dispatch)
}

func (h *harness) endAttempt(d entry.Dispatch, outcome entry.AttemptOutcome) []entry.Effect {
	return h.reduce(entry.AttemptEnded{Request: d.Request, Outcome: outcome})
}

func (h *harness) completeAttempt(d entry.Dispatch) {
	h.Helper()
	effects := h.endAttempt(d, entry.Answered{Status: 200, Elapsed: 100 * time.Millisecond})
	require.Contains(h, effects, entry.Deliver{Request: d.Request})
}

func requireRefusal(t *testing.T, effects []entry.Effect) entry.Refusal {
	t.Helper()
	require.Len(t, effects, 1)
	require.IsType(t, entry.Refuse{}, effects[0])
	return effects[0].(entry.Refuse).Refusal
}
