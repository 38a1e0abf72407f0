package ingress_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/wire"
	"bluebellhold/logwriter"
	"bluebellhold/platform"
	"bluebellhold/store"
)

const (
	// configApply is the time within which an acknowledged change must be in force, and contact that after the end of an
	// outage of the store from which on this holds again.
	configApply = 2500 * time.Millisecond
	contact     = 4 * time.Second
)

// silence is an outage in which the store answers nothing. A call during which it begins is never answered either.
type silence struct {
	mu          sync.Mutex
	from, until time.Time
}

// begin begins a silence of some length, and returns its start and its end.
func (s *silence) begin(length time.Duration) (from, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from = time.Now()
	s.until = s.from.Add(length)
	return s.from, s.until
}

func (s *silence) covers(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !at.Before(s.from) && at.Before(s.until)
}

// silentFeed is one instance's way to a store that falls silent. It has the timeouts of platform.StoreClient.
type silentFeed struct {
	*memoryFeed
	// delay is the time from the instance to the store.
	delay   time.Duration
	silence *silence
}

// call waits for the answer to a call that waits for isDone for up to maxWait.
func (f *silentFeed) call(maxWait time.Duration, isDone func() bool) error {
	givenUpAt := time.Now().Add(maxWait + store.CallTimeout)
	time.Sleep(f.delay)
	answerAt := time.Now().Add(maxWait)
	for !f.silence.covers(time.Now()) {
		if !time.Now().Before(answerAt) || isDone() {
			time.Sleep(f.delay)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(givenUpAt))
	return &store.UnavailableError{Operation: "silence"}
}

func (f *silentFeed) Changes(ctx context.Context, table string, after uint64, maxWait time.Duration) (store.ChangeSet, error) {
	var changes store.ChangeSet
	err := f.call(maxWait, func() bool {
		changes = f.changesSince(table, after)
		return len(changes.Rows) > 0
	})
	if err != nil || ctx.Err() != nil {
		return store.ChangeSet{}, &store.UnavailableError{Operation: table, Cause: err}
	}
	if changes.Version == 0 {
		changes = f.changesSince(table, after)
	}
	return changes, nil
}

func (f *silentFeed) Snapshot(ctx context.Context, table string) (store.ChangeSet, error) {
	return f.Changes(ctx, table, 0, 0)
}

func (f *silentFeed) Put(ctx context.Context, table, name string, value []byte, expectedVersion uint64) error {
	if err := f.call(0, func() bool { return true }); err != nil {
		return err
	}
	return f.memoryFeed.Put(ctx, table, name, value, expectedVersion)
}

// wires connects instances in one process.
type wires struct {
	mu        sync.Mutex
	instances map[id.Instance]ingress.Offline
}

// end is one instance's end of the wires.
type end struct {
	*wires
	ctx   context.Context
	name  id.Instance
	known map[id.Instance]chan *wire.Envelope
}

// messageDelay is the time that a message takes to another instance of the region.
const messageDelay = time.Millisecond

func (e *end) Send(to id.Instance, m *wire.Envelope) {
	select {
	case e.queue(to) <- m:
	default:
		// The queue is full.
	}
}

func (e *end) SetPeers(contacts []store.Member) {
	for _, c := range contacts {
		e.queue(c.Instance)
	}
}

// queue returns the queue of messages to an instance, with which it opens a session before the first one.
func (e *end) queue(to id.Instance) chan *wire.Envelope {
	e.mu.Lock()
	defer e.mu.Unlock()
	queue := e.known[to]
	if queue == nil {
		queue = make(chan *wire.Envelope, 256)
		e.known[to] = queue
		go e.deliver(e.instances[e.name], e.instances[to], queue)
	}
	return queue
}

func (e *end) deliver(own, other ingress.Offline, queue chan *wire.Envelope) {
	time.Sleep(messageDelay)
	own.OpenSession(e.other(other))
	for {
		select {
		case m := <-queue:
			time.Sleep(messageDelay)
			other.Deliver(e.name, m)
		case <-e.ctx.Done():
			return
		}
	}
}

// other returns the name of an instance.
func (e *end) other(o ingress.Offline) id.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, instance := range e.instances {
		if instance == o {
			return name
		}
	}
	return ""
}

func (e *end) OpenTunnel(context.Context, id.Instance, string, peer.TunnelTarget) (tcp.Conn, error) {
	return nil, &peer.ClosedError{}
}

func (e *end) ServedTunnels() int { return 0 }

func (e *end) Close() {}

// silentFleet is a coordinator and a member that follow a store which falls silent.
type silentFleet struct {
	*testing.T
	feed      *memoryFeed
	silence   *silence
	instances map[id.Instance]ingress.Offline
	log       *lockedBuffer
	// memberSilence is the silence that the member meets; by default that of the store.
	memberSilence *silence
}

func newSilentFleet(t *testing.T) *silentFleet {
	f := &silentFleet{
		T: t, feed: new(memoryFeed), silence: new(silence), instances: make(map[id.Instance]ingress.Offline), log: new(lockedBuffer),
	}
	f.memberSilence = f.silence
	return f
}

// start starts the instances one after the other, the coordinator first, within a bubble.
func (f *silentFleet) start(ctx context.Context, running *sync.WaitGroup, delay time.Duration) {
	f.feed.put(platform.OperatorTable, "config", documentVersion(7, "secret-key"))
	w := &wires{instances: f.instances}
	for n, name := range []id.Instance{"osrednja-1", "osrednja-2"} {
		way := &silentFeed{f.feed, delay, f.silence}
		if n > 0 {
			way.silence = f.memberSilence
		}
		logs := logwriter.New(logwriter.Config{
			Output: f.log, Options: log.Options{Formatter: log.LogfmtFormatter, Prefix: string(name)},
		})
		o := ingress.NewOffline(ingress.Config{
			Instance: name, Region: "osrednja", DataCentre: "osrednja-a",
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", n+1), PeerAddress: fmt.Sprintf("10.0.0.%d:81", n+1),
			Bounds: entry.Bounds{
				RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second, RateWindow: 5 * time.Second,
				MaxDrainDelay: configApply, GracePeriod: 2 * time.Second, LookupTTL: 5 * time.Second,
			},
			MemoryLimit: 256 << 20, Feed: way,
			Tables: ingress.Tables{
				Operator: platform.OperatorTable, Upstreams: platform.ServersTable, Members: "members",
				Groups: "groups", Secrets: "secrets", Documents: "documents",
			},
			RowDecoder: platform.RowDecoder{RegionByDataCentre: map[id.DataCentre]id.Region{"osrednja-a": "osrednja"}},
			Log:        logs,
		})
		w.mu.Lock()
		f.instances[name] = o
		w.mu.Unlock()
		running.Go(func() {
			o.Follow(ctx, &end{wires: w, ctx: ctx, name: name, known: make(map[id.Instance]chan *wire.Envelope)})
			logs.Close(time.Now().Add(time.Second))
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	for name, o := range f.instances {
		require.Equal(f, id.Instance("osrednja-1"), o.Coordinator(), "coordinator of %s", name)
	}
}

// requireVersion checks what is in force at all instances.
func (f *silentFleet) requireVersion(version uint64, message string) {
	f.Helper()
	for name, o := range f.instances {
		require.Equal(f, version, o.Version(), "%s: %s", name, message)
	}
}

// phases is the number of moments of the instances' reads at which an outage begins.
const phases = 200

// inPhases plays in a bubble for each phase, once the instances are running. The phases cover the longest time between two
// reads that wait for changes.
func inPhases(t *testing.T, prepare func(*silentFleet), play func(f *silentFleet, random *rand.Rand)) {
	for phase := range phases {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(phase), 37))
				ctx, stop := context.WithCancel(context.Background())
				var running sync.WaitGroup
				defer running.Wait()
				defer stop()
				f := newSilentFleet(t)
				prepare(f)
				f.start(ctx, &running, time.Duration(1+random.IntN(110))*time.Millisecond)
				time.Sleep(time.Duration(phase) * 30 * time.Millisecond)
				play(f, random)
			})
		})
	}
}

// Guards against instances that keep withdrawn keys and evacuated data centres in use after a silent outage of the store,
// because a read that waits on a connection from before its end counted as up to date, and was given up too late.
func TestChangesAreInForceInTimeAfterASilentOutage(t *testing.T) {
	inPhases(t, func(*silentFleet) {}, func(f *silentFleet, random *rand.Rand) {
		from, until := f.silence.begin(time.Duration(50+random.IntN(6000)) * time.Millisecond)
		time.Sleep(time.Until(until))
		version, bound := uint64(7), until.Add(contact)
		for time.Now().Before(bound.Add(contact)) {
			version += 2
			f.feed.put(platform.OperatorTable, "config", documentVersion(int(version), "secret-key"))
			due := time.Now().Add(configApply)
			if due.Before(bound) {
				due = bound
			}
			time.Sleep(time.Until(due))
			f.requireVersion(version, fmt.Sprintf("%v after an outage of %v", time.Since(until), until.Sub(from)))
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
	})
}

// Guards against a member that takes the rows for up to date because its coordinator, which no longer reaches the store,
// still has a read waiting.
func TestChangesAreInForceInTimeWhileTheCoordinatorIsCutOffFromTheStore(t *testing.T) {
	inPhases(t, func(f *silentFleet) { f.memberSilence = new(silence) }, func(f *silentFleet, random *rand.Rand) {
		from, until := f.silence.begin(7 * time.Second)
		version := uint64(7)
		for time.Now().Before(until.Add(-configApply)) {
			version += 2
			f.feed.put(platform.OperatorTable, "config", documentVersion(int(version), "secret-key"))
			time.Sleep(configApply)
			require.Equal(f, version, f.instances["osrednja-2"].Version(), "%v after the cut", time.Since(from))
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
	})
}
