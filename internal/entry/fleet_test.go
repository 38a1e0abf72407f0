package entry_test

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
	"bluebellhold/internal/entry"
)

const (
	fleetSize         = 7
	stepInterval      = 5 * time.Millisecond
	heartbeatInterval = 2 * time.Second
	organisationRate  = 100
	organisationBurst = 100
	coldRate          = 9.6
	runDuration       = 40 * time.Second
)

// fleet simulates several instances that exchange heartbeats through a store.
type fleet struct {
	*testing.T
	random       *rand.Rand
	now          time.Time
	version      uint64
	rows         map[id.Instance]entry.Member
	lateWrites   []lateWrite
	members      []*fleetMember
	dispatches   []time.Time                 // first attempts, all of one organisation
	coldRequests map[id.Upstream][]time.Time // requests sent to cold upstreams
	arrivals     []time.Time
	retries      []time.Time
}

// fleetMember is one instance; its clock stops while it is suspended.
type fleetMember struct {
	*harness
	name                    id.Instance
	startTime               int64
	nextHeartbeatAt         time.Time
	lastHeartbeatAt         time.Time
	partitionedUntil        time.Time
	restartAt               time.Time
	suspendedUntil          time.Time
	losesResponses          bool
	suspendedFor            time.Duration
	attempts                map[id.Request]int
	readVersion, rowVersion uint64 // versions of the store and of its own row at its last read
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		T: t, random: rand.New(rand.NewPCG(seed, 9)), now: testStart, rows: make(map[id.Instance]entry.Member),
		coldRequests: make(map[id.Upstream][]time.Time),
	}
	for n := range fleetSize {
		m := &fleetMember{name: id.Instance(fmt.Sprint("instance-", n))}
		f.members = append(f.members, m)
		f.restart(m)
	}
	return f
}

func (f *fleet) restart(m *fleetMember) {
	m.startTime++
	m.harness = &harness{T: f.T, now: f.now.Add(-m.suspendedFor), state: entry.New(entry.Config{
		Instance: m.name, Region: "osrednja", DataCentre: "osrednja-1", Bounds: bounds(), StartTime: m.startTime,
		Seed: uint64(m.startTime),
	})}
	m.nextHeartbeatAt, m.attempts = f.now.Add(time.Duration(f.random.Int64N(int64(300*time.Millisecond)))),
		make(map[id.Request]int)
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: organisationRate, Burst: organisationBurst}
	list := upstreams()
	for i := range list {
		if list[i].Region == "osrednja" {
			list[i].ColdUntil = testStart.Add(runDuration)
		}
	}
	m.reduce(entry.ConfigurationChanged{Configuration: c})
	m.reduce(entry.UpstreamsChanged{Upstreams: list})
	f.readHeartbeats(m)
}

func (f *fleet) heartbeats() []entry.Member {
	var list []entry.Member
	for _, row := range f.rows {
		list = append(list, row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// lateWrite is a write whose response was lost and which is executed later if the row is unchanged.
type lateWrite struct {
	dueAt           time.Time
	row             entry.Member
	expectedVersion uint64
}

// write replaces a row if it still has the expected version.
func (f *fleet) write(row entry.Member, expectedVersion uint64) {
	if f.rows[row.Instance].Version != expectedVersion {
		return
	}
	f.version++
	row.Version = f.version
	f.rows[row.Instance] = row
}

// heartbeat writes a heartbeat and reads those of the others. A lost response leaves the outcome of the write unknown
// or fails the read.
func (f *fleet) heartbeat(m *fleetMember) {
	m.nextHeartbeatAt, m.lastHeartbeatAt = f.now.Add(heartbeatInterval), f.now
	if f.now.Before(m.partitionedUntil) {
		return
	}
	row := entry.Member{
		Instance: m.name, Region: "osrednja", ReadVersion: m.readVersion, StartTime: m.startTime,
		Demand: m.state.Demand(m.now), OfferedLoad: m.state.OfferedLoad(m.now), LocalShares: m.state.LocalShares(),
		LimitShares: m.state.LimitShares(m.now), SpentBuckets: m.state.SpentBuckets(m.now),
	}
	if m.losesResponses && f.random.IntN(2) == 0 {
		delay := time.Duration(f.random.Int64N(int64(6 * time.Second)))
		f.lateWrites = append(f.lateWrites, lateWrite{f.now.Add(delay), row, m.rowVersion})
		return
	}
	f.write(row, m.rowVersion)
	if m.losesResponses && f.random.IntN(2) == 0 {
		return
	}
	f.readHeartbeats(m)
	if !m.state.HasJoined() || m.state.LacksShares() {
		m.nextHeartbeatAt = f.now.Add(heartbeatInterval / 5)
	}
}

func (f *fleet) readHeartbeats(m *fleetMember) {
	m.readVersion, m.rowVersion = f.version, f.rows[m.name].Version
	m.reduce(entry.MembersRead{Members: f.heartbeats()})
}

// sendRequest sends a request of the limited organisation.
func (f *fleet) sendRequest(m *fleetMember) {
	m.lastRequest++
	object := fmt.Sprint(f.random.IntN(60))
	effects := m.reduce(entry.RequestArrived{
		Request: m.lastRequest, Host: "example", Path: "/look/" + object, Object: object, KeyDigest: keyDigest, HasKey: true,
		CallerTimeout: 2500 * time.Millisecond,
	})
	f.arrivals = append(f.arrivals, f.now)
	f.applyEffects(m, effects)
}

// applyEffects executes the effects. Attempts end at once: one in three breaks, and the others get a response after
// 20 ms.
func (f *fleet) applyEffects(m *fleetMember, effects []entry.Effect) {
	for _, e := range effects {
		if _, ok := e.(entry.WriteHeartbeat); ok {
			if earliest := m.lastHeartbeatAt.Add(heartbeatInterval / 5); earliest.Before(m.nextHeartbeatAt) {
				m.nextHeartbeatAt = earliest
			}
		}
		d, ok := e.(entry.Dispatch)
		if !ok {
			continue
		}
		if m.attempts[d.Request]++; m.attempts[d.Request] > 1 {
			f.retries = append(f.retries, f.now)
		} else {
			f.dispatches = append(f.dispatches, f.now)
		}
		if f.now.Before(testStart.Add(runDuration)) && d.Service == "pregled" && len(d.Upstream) > 0 && d.Upstream[8] == 'o' {
			f.coldRequests[d.Upstream] = append(f.coldRequests[d.Upstream], f.now)
		}
		if f.random.IntN(3) == 0 {
			f.applyEffects(m, m.endAttempt(d, entry.Broken{}))
			continue
		}
		f.applyEffects(m, m.endAttempt(d, entry.Answered{Status: 200, Elapsed: 20 * time.Millisecond}))
	}
}

// injectFault starts one random fault: a partition from the store, a kill, a suspension or lost responses of the store.
func (f *fleet) injectFault() {
	until := f.now.Add(time.Duration(f.random.Int64N(int64(8 * time.Second))))
	affected := f.members[f.random.IntN(fleetSize):]
	if f.random.IntN(2) == 0 {
		affected = affected[:1]
	}
	kind := f.random.IntN(4)
	for _, m := range affected {
		switch kind {
		case 0:
			m.partitionedUntil = until
		case 1:
			m.restartAt = f.now.Add(until.Sub(f.now) / 4)
		case 2:
			m.suspendedUntil = until
		case 3:
			m.losesResponses = !m.losesResponses
		}
	}
}

func (f *fleet) run() {
	busiest, requestsPerStep := 0, 0
	isDead := make(map[*fleetMember]bool)
	for step := 0; f.now.Before(testStart.Add(runDuration)); step++ {
		f.now = f.now.Add(stepInterval)
		f.lateWrites = slices.DeleteFunc(f.lateWrites, func(write lateWrite) bool {
			if f.now.Before(write.dueAt) {
				return false
			}
			f.write(write.row, write.expectedVersion)
			return true
		})
		if f.random.IntN(400) == 0 {
			f.injectFault()
		}
		if step%400 == 0 {
			busiest, requestsPerStep = f.random.IntN(fleetSize), f.random.IntN(4)
		}
		for n, m := range f.members {
			switch {
			case f.now.Before(m.restartAt):
				isDead[m] = true
				continue
			case isDead[m]:
				isDead[m] = false
				f.restart(m)
			case f.now.Before(m.suspendedUntil):
				m.suspendedFor += stepInterval
				continue
			}
			m.now = f.now.Add(-m.suspendedFor)
			if !f.now.Before(m.nextHeartbeatAt) {
				f.heartbeat(m)
			}
			f.applyEffects(m, m.reduce(entry.Tick{}))
			if n == step%fleetSize || n == busiest {
				for range requestsPerStep {
					f.sendRequest(m)
				}
			}
		}
	}
}

// maxInWindow returns the largest number of times within any window of the given length.
func maxInWindow(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	first, count := 0, 0
	for n, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		count = max(count, n-first+1)
	}
	return count
}

// Guards against limits that the fleet exceeds together while instances are partitioned from the store, killed and
// restarted, suspended, or get no responses from the store. The bounds are those of the operators' settings. The
// environment variable FLEET_SEED selects one other seed.
func TestTheFleetKeepsItsLimitsUnderFaults(t *testing.T) {
	first, count := uint64(0), uint64(24)
	if seed, err := strconv.ParseUint(os.Getenv("FLEET_SEED"), 10, 64); err == nil {
		first, count = seed, 1
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed)
			f.run()
			b := bounds()
			rate := (organisationRate*b.RateWindow.Seconds()+organisationBurst)*1.1 + b.RateSlack
			t.Logf("rate: %d of %.0f; served %d", maxInWindow(f.dispatches, b.RateWindow), rate, len(f.dispatches))
			require.LessOrEqual(t, float64(maxInWindow(f.dispatches, b.RateWindow)), rate,
				"requests of one organisation in a window")
			require.NotEmpty(t, f.coldRequests)
			for name, times := range f.coldRequests {
				require.LessOrEqual(t, float64(maxInWindow(times, time.Second)), coldRate*b.ColdFactor+b.ColdSlack,
					"requests to the cold upstream %s in a second", name)
			}
			require.NotEmpty(t, f.retries)
			requests := float64(maxInWindow(f.arrivals, b.RetryWindow))
			require.LessOrEqual(t, float64(maxInWindow(f.retries, b.RetryWindow)), b.RetryRatio*requests+b.RetryExtra,
				"retries in a window")
		})
	}
}
