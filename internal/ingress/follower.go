package ingress

import (
	"context"
	"time"

	"bluebellhold/internal/entry"
)

const (
	// maxRecoveryDelay is the time after an outage of the store from which on the operator's bounds hold again.
	maxRecoveryDelay = 4 * time.Second
	// rereadTime covers connecting to the store, a call, and the way of its result to the members.
	rereadTime = 700 * time.Millisecond
	// upstreamPollFraction is the time between two reads of the upstreams' rows, as a fraction of the time within which
	// a draining upstream must be noticed. The rows change many times a second, so that reads that wait for a
	// change would return immediately and never pause.
	upstreamPollFraction = 0.6
	// minUpstreamPollInterval and maxUpstreamPollInterval bound the time between these reads.
	minUpstreamPollInterval = 500 * time.Millisecond
	maxUpstreamPollInterval = 3 * time.Second
	// heartbeatInterval is the time between two heartbeats of this instance, each followed by a read of all heartbeats.
	heartbeatInterval = 2 * time.Second
	// minHeartbeatInterval is the minimum time between two heartbeats, and between two rows of a group that lacks shares;
	// a write and a read take some 200 ms between regions.
	minHeartbeatInterval = 400 * time.Millisecond
	// joinInterval is the time between the first two reads of the heartbeats.
	joinInterval = 500 * time.Millisecond
	// vouchTime is how long a member waits for its coordinator to vouch for it before it renews its own heartbeat.
	vouchTime = time.Second
	// retryDelay is the delay after a failed read, and after a first read that returned nothing.
	retryDelay = 300 * time.Millisecond
	// recoveryGrace is how long upstreams whose rows were removed during an outage of the store are kept after its
	// recovery, and rows that are missing after its return from an older copy; they are written again within 2 s.
	recoveryGrace = 2200 * time.Millisecond
	// outageThreshold is the time between two successful reads above which the store is taken to have been down.
	outageThreshold = maxUpstreamPollInterval + readTimeMargin
	// readTimeMargin is longer than a read takes while the store is available.
	readTimeMargin = time.Second
)

// follower passes changes in the store to an instance and writes the instance's heartbeats.
//
// Each of its polling goroutines has its own fields: that of the operator's rows uses operatorRows, that of the upstreams'
// rows upstreamRows, that of the heartbeats those from knownMembers to heartbeatWrittenAt, and that of the groups' rows the
// last one.
type follower struct {
	*Instance

	operatorRows      operatorRows
	upstreamRows      upstreamRows
	knownMembers      map[string]entry.Member
	hasReadHeartbeats bool
	heartbeatReads    []heartbeatRead
	heartbeatEras     eraTracker
	oddMembers        oddRows
	// heartbeatWrittenAt is when this instance's last heartbeat was written.
	heartbeatWrittenAt time.Time
	groupRows          groupRows
	// storeRestored signals that the store has returned from an older copy.
	storeRestored chan struct{}
}

func newFollower(i *Instance) *follower {
	return &follower{
		Instance:      i,
		operatorRows:  newOperatorRows(),
		upstreamRows:  newUpstreamRows(),
		knownMembers:  make(map[string]entry.Member),
		oddMembers:    newOddRows(),
		groupRows:     newGroupRows(i.config.Feed, i.config.Tables.Groups),
		storeRestored: make(chan struct{}, 1),
	}
}

func (f *follower) start(ctx context.Context) {
	f.followTables(ctx)
	f.goroutines.Go(func() { f.openSessions(ctx) })
	f.goroutines.Go(func() { f.keepDocuments(ctx) })
}

// followTables starts the goroutines that read and write the store for the reducer.
func (f *follower) followTables(ctx context.Context) {
	operator, upstreams := f.tables[f.config.Tables.Operator], f.tables[f.config.Tables.Upstreams]
	f.follow(ctx, operator, followedTable{
		read: f.readOperator, apply: f.applyOperatorChanges,
		interval: func() time.Duration { return 0 }, maxAge: operatorReadInterval + relayMargin,
		maxSilence: f.upstreamPollInterval() + relayMargin, nextDue: f.operatorRows.nextEnd, handleDue: f.endDueEvacuations,
	})
	f.follow(ctx, upstreams, followedTable{
		read: f.readUpstreams, apply: f.applyUpstreamChanges,
		interval: f.upstreamPollInterval, maxAge: f.upstreamPollInterval() + relayMargin,
		nextDue: f.upstreamRows.nextRemoval, handleDue: f.removeDueUpstreams,
	})
	f.follow(ctx, f.tables[f.config.Tables.Members], followedTable{
		read: f.heartbeat, apply: f.applyHeartbeatChanges, trigger: f.heartbeatRequested,
		interval: f.heartbeatPause, maxAge: heartbeatInterval + relayMargin,
	})
	f.goroutines.Go(func() { f.coordinateGroup(ctx) })
}
