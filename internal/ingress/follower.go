package ingress

import (
	"context"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/store"
)

const (
	// operatorMaxWait is how long a read of the operator's rows waits for a change. It bounds the delay of changes when
	// a connection fails without being closed; the operator's bounds apply from 4 s after such a failure.
	operatorMaxWait = 4500 * time.Millisecond
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
	// recovery; live upstreams write their rows again within 2 s.
	recoveryGrace = 2200 * time.Millisecond
	// outageThreshold is the time between two successful reads above which the store is taken to have been down.
	outageThreshold = maxUpstreamPollInterval + readTimeMargin
	// readTimeMargin is longer than a read takes while the store is available.
	readTimeMargin = time.Second
)

// follower passes changes in the store to an instance and writes the instance's heartbeats.
//
// Each of its polling goroutines has its own fields: that of the operator's rows uses evacuations, that of the upstreams'
// rows the fields from knownUpstreams to recoveredAt, that of the heartbeats those from knownMembers to
// heartbeatWrittenAt, and that of the groups' rows the last one.
type follower struct {
	*Instance

	evacuations       map[string]id.DataCentre
	knownUpstreams    map[string]entry.Upstream
	pendingRemovals   map[string]time.Time
	upstreamsReadAt   time.Time
	recoveredAt       time.Time
	knownMembers      map[string]entry.Member
	hasReadHeartbeats bool
	heartbeatReads    []heartbeatRead
	// heartbeatWrittenAt is when this instance's last heartbeat was written.
	heartbeatWrittenAt time.Time
	groupRows          *store.Mirror
}

func newFollower(i *Instance) *follower {
	return &follower{
		Instance:        i,
		evacuations:     make(map[string]id.DataCentre),
		knownUpstreams:  make(map[string]entry.Upstream),
		pendingRemovals: make(map[string]time.Time),
		knownMembers:    make(map[string]entry.Member),
		groupRows:       store.NewMirror(i.config.Feed, i.config.Tables.Groups),
	}
}

func (f *follower) start(ctx context.Context) {
	operator, upstreams := f.tables[f.config.Tables.Operator], f.tables[f.config.Tables.Upstreams]
	f.follow(ctx, operator, followedTable{
		read: f.readOperator, apply: f.applyOperatorChanges,
		interval: func() time.Duration { return 0 }, maxWait: operatorMaxWait, maxAge: f.upstreamPollInterval() + relayMargin,
	})
	f.follow(ctx, upstreams, followedTable{
		read: f.readUpstreams, apply: f.applyUpstreamChanges,
		interval: f.upstreamPollInterval, maxAge: f.upstreamPollInterval() + relayMargin, confirms: operator,
		nextDue: f.nextRemoval, handleDue: f.removeDueUpstreams,
	})
	f.follow(ctx, f.tables[f.config.Tables.Members], followedTable{
		read: f.heartbeat, apply: f.applyHeartbeatChanges, trigger: f.heartbeatRequested,
		interval: f.heartbeatPause, maxAge: heartbeatInterval + relayMargin,
	})
	f.goroutines.Go(func() { f.coordinateGroup(ctx) })
	f.goroutines.Go(func() { f.openSessions(ctx) })
}

// upstreamPollInterval returns the time between two reads of the upstreams' rows: in time to notice drains.
func (f *follower) upstreamPollInterval() time.Duration {
	interval := time.Duration(upstreamPollFraction * float64(f.config.Bounds.MaxDrainDelay))
	return min(max(interval, minUpstreamPollInterval), maxUpstreamPollInterval)
}

// nextRemoval returns when the next pending removal of an upstream is due, or zero if there is none.
func (f *follower) nextRemoval() time.Time {
	var next time.Time
	for _, removeAt := range f.pendingRemovals {
		if next.IsZero() || removeAt.Before(next) {
			next = removeAt
		}
	}
	return next
}

// readOperator waits for changes of the operator's rows and posts them as events.
func (f *follower) readOperator(ctx context.Context) ([]store.Change, error) {
	rows := f.tables[f.config.Tables.Operator].mirror
	isFirst := len(rows.Rows()) == 0
	wait := operatorMaxWait
	if f.relaySource() != "" {
		// The coordinator waits for changes.
		wait = 0
	}
	changes, err := rows.Refresh(ctx, wait)
	if err != nil {
		return nil, err
	}
	if isFirst && len(changes) == 0 {
		// A first read returns at once even if the table is empty.
		time.Sleep(retryDelay)
	}
	return f.applyOperatorChanges(changes), nil
}

// applyOperatorChanges posts changes of the operator's rows as events. All are relevant.
func (f *follower) applyOperatorChanges(changes []store.Change) []store.Change {
	hasChanged := false
	for _, change := range changes {
		if change.Deleted {
			_, isEvacuation := f.evacuations[change.Name]
			hasChanged = hasChanged || isEvacuation
			delete(f.evacuations, change.Name)
			continue
		}
		row, err := f.config.RowDecoder.DecodeOperatorRow(change.Name, change.Value)
		if err != nil {
			f.log.Error("operator: a row can't be read; the last valid one remains in force", "row", change.Name, "error", err)
			continue
		}
		switch row := row.(type) {
		case Document:
			f.Post(entry.ConfigurationChanged(row))
			f.log.Info("operator: configuration", "version", row.Configuration.Version)
		case Evacuation:
			f.evacuations[change.Name] = row.DataCentre
			hasChanged = true
		}
	}
	if hasChanged {
		list := make([]id.DataCentre, 0, len(f.evacuations))
		for _, d := range f.evacuations {
			list = append(list, d)
		}
		f.Post(entry.EvacuationsChanged{DataCentres: list})
		f.log.Info("operator: evacuations", "datacentres", list)
	}
	return changes
}

// readUpstreams reads the changes of the upstreams' rows.
func (f *follower) readUpstreams(ctx context.Context) ([]store.Change, error) {
	changes, err := f.tables[f.config.Tables.Upstreams].mirror.Refresh(ctx, 0)
	if err != nil {
		return nil, err
	}
	return f.applyUpstreamChanges(changes), nil
}

// applyUpstreamChanges applies changes of the upstreams' rows, posts the list if it has changed, and returns the changes
// that matter to members: not those of rows that an upstream has only renewed.
func (f *follower) applyUpstreamChanges(changes []store.Change) []store.Change {
	now := time.Now()
	if !f.upstreamsReadAt.IsZero() && now.Sub(f.upstreamsReadAt) > outageThreshold {
		f.recoveredAt = now
	}
	isFirst := f.upstreamsReadAt.IsZero()
	f.upstreamsReadAt = now
	hasChanged := isFirst
	var relevant []store.Change
	for _, change := range changes {
		isChange := f.applyUpstreamChange(now, change)
		hasChanged = isChange || hasChanged
		if isChange || change.Deleted {
			relevant = append(relevant, change)
		}
	}
	if hasChanged {
		f.postUpstreams()
	}
	f.removeDueUpstreams()
	return relevant
}

func (f *follower) postUpstreams() {
	list := make([]entry.Upstream, 0, len(f.knownUpstreams))
	for _, u := range f.knownUpstreams {
		list = append(list, u)
	}
	f.Post(entry.UpstreamsChanged{Upstreams: list})
}

// removeDueUpstreams removes the upstreams whose rows have not come back in time after an outage of the store.
func (f *follower) removeDueUpstreams() {
	now, hasChanged := time.Now(), false
	for name, removeAt := range f.pendingRemovals {
		if !now.Before(removeAt) {
			delete(f.pendingRemovals, name)
			delete(f.knownUpstreams, name)
			hasChanged = true
		}
	}
	if hasChanged {
		f.postUpstreams()
	}
}

// applyUpstreamChange applies the change of one row and reports whether the list of upstreams has changed.
//
// The removal of a row shortly after an outage of the store is deferred: the row of a live upstream may have expired
// during the outage, and the upstream writes it again.
func (f *follower) applyUpstreamChange(now time.Time, change store.Change) bool {
	previous, isKnown := f.knownUpstreams[change.Name]
	if change.Deleted {
		if !isKnown {
			return false
		}
		if now.Sub(f.recoveredAt) < recoveryGrace && !previous.Draining && !f.mostRowsNewerThan(change.Version) {
			f.pendingRemovals[change.Name] = f.recoveredAt.Add(recoveryGrace)
			return false
		}
		delete(f.knownUpstreams, change.Name)
		f.log.Debug("upstreams: removed", "upstream", change.Name)
		return true
	}
	delete(f.pendingRemovals, change.Name)
	u, err := f.config.RowDecoder.DecodeUpstreamRow(now, change.Name, change.Value)
	if err != nil {
		f.log.Warn("upstreams: invalid row; the upstream is ignored", "row", change.Name, "error", err)
		delete(f.knownUpstreams, change.Name)
		return isKnown
	}
	f.knownUpstreams[change.Name] = u
	if !isKnown || u.Draining != previous.Draining || u.Incarnation != previous.Incarnation {
		f.log.Info("upstreams: changed", "upstream", u.ID, "service", u.Service, "datacentre", u.DataCentre,
			"draining", u.Draining)
	}
	return !isKnown || !isUnchanged(u, previous, now)
}

// mostRowsNewerThan reports whether more than three quarters of the upstreams' rows were written after the version. The
// store was then available long enough for a live upstream whose row was removed at the version to write it again.
func (f *follower) mostRowsNewerThan(version uint64) bool {
	newer, rows := 0, f.tables[f.config.Tables.Upstreams].mirror.Rows()
	for _, row := range rows {
		if row.Version > version {
			newer++
		}
	}
	return newer*4 > len(rows)*3
}

// isUnchanged reports whether two readings of an upstream are equal but for a ColdUntil on the same side of now.
func isUnchanged(a, b entry.Upstream, now time.Time) bool {
	if now.Before(a.ColdUntil) != now.Before(b.ColdUntil) {
		return false
	}
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}
