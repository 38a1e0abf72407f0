package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/retry"
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
// rows the fields from knownUpstreams to recoveredAt, that of the heartbeats knownMembers and hasReadHeartbeats, and that
// of the groups' rows the rest.
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
	interval = min(max(interval, minUpstreamPollInterval), maxUpstreamPollInterval)
	return interval
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

// heartbeatPause returns the time between two heartbeats. It is shorter while the instance has not joined, which it does
// once the others have read its heartbeat, and shortest after the first one, when others that started at the same time
// appear.
func (f *follower) heartbeatPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.heartbeatReads) <= 1:
		return joinInterval
	case f.state.HasJoined():
		return heartbeatInterval
	}
	return 2 * joinInterval
}

// followedTable is how one table is followed.
type followedTable struct {
	// read reads the table from the store and returns the relevant changes.
	read func(context.Context) ([]store.Change, error)
	// apply applies relayed changes and returns the relevant ones.
	apply func([]store.Change) []store.Change
	// interval is the time between the starts of two reads, and maxAge the age of a relayed view above which the store
	// is read.
	interval func() time.Duration
	maxAge   time.Duration
	// maxWait is how long a read may wait for changes.
	maxWait time.Duration
	// confirms is a table whose reads wait for changes; a read of this table shows that the store would have answered.
	confirms *relayedTable
	// handleDue is called at the time that nextDue returns unless that is zero; nil means never.
	nextDue   func() time.Time
	handleDue func()
	// trigger causes a read ahead of schedule; nil means never.
	trigger <-chan struct{}
}

// dueTimer returns a channel that receives when nextDue is reached, or nil.
func (p followedTable) dueTimer() <-chan time.Time {
	if p.nextDue == nil {
		return nil
	}
	next := p.nextDue()
	if next.IsZero() {
		return nil
	}
	return time.After(time.Until(next))
}

// needsOwnReads reports whether this instance has to read the table even while the coordinator relays it.
func (f *follower) needsOwnReads(t *relayedTable) bool {
	if t.name != f.config.Tables.Members {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NeedsHeartbeat()
}

// followerPause is how long a member waits for the coordinator's answer to a request for rows before it reads the store.
const followerPause = 600 * time.Millisecond

// pollState is the state of the goroutine that keeps a table up to date.
type pollState struct {
	// startedAt is when the last successful read started, or zero after a failed one.
	startedAt time.Time
	// notBefore is the earliest time of the next read.
	notBefore time.Time
	// outageStart is when reads began to fail, or zero.
	outageStart time.Time
}

// pause returns the time until a table is read next.
func (f *follower) pause(t *relayedTable, p followedTable, s *pollState) time.Duration {
	pause := max(time.Until(s.startedAt.Add(p.interval())), time.Until(s.notBefore))
	if f.relaySource() == "" || f.needsOwnReads(t) {
		return pause
	}
	return max(pause, time.Until(t.freshAt.Add(p.maxAge)))
}

// follow starts a goroutine that keeps a table up to date: it applies what the coordinator relays, reads the store when
// that is too old or this instance has to read it itself, and relays to the members what it got.
func (f *follower) follow(ctx context.Context, t *relayedTable, p followedTable) {
	f.goroutines.Go(func() {
		var s pollState
		for ctx.Err() == nil {
			f.followOnce(ctx, t, p, &s)
		}
	})
}

// followOnce waits for the next event of a table and handles it.
func (f *follower) followOnce(ctx context.Context, t *relayedTable, p followedTable, s *pollState) {
	timer := time.NewTimer(f.pause(t, p, s))
	defer timer.Stop()
	select {
	case <-p.dueTimer():
		p.handleDue()
	case u := <-t.updates:
		f.applyUpdate(t, u, p.apply)
	case <-t.changed:
		f.requestRows(t)
		s.notBefore = time.Now()
		if f.relaySource() != "" {
			// The view may be older than maxAge already; the new coordinator gets some time to refresh it.
			s.notBefore = s.notBefore.Add(followerPause)
		}
	case <-p.trigger:
		time.Sleep(time.Until(s.startedAt.Add(minHeartbeatInterval)))
		s.startedAt, s.notBefore = time.Time{}, time.Time{}
	case <-timer.C:
		f.readTable(ctx, t, p, s)
	case <-ctx.Done():
	}
}

// readTable reads a table from the store and relays what it got, or tells the members that it can't be read. It logs the
// start and the end of an outage of the store.
func (f *follower) readTable(ctx context.Context, t *relayedTable, p followedTable, s *pollState) {
	startedAt := time.Now()
	relevant, err := p.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if s.outageStart.IsZero() {
			s.outageStart = startedAt
			f.log.Warn("store: lost", "part", t.name, "error", err)
		}
		s.startedAt, s.notBefore = time.Time{}, time.Now().Add(retryDelay)
		f.dismissFollowers(t)
		return
	}
	if !s.outageStart.IsZero() {
		f.log.Info("store: recovered", "part", t.name, "outage", time.Since(s.outageStart))
		s.outageStart = time.Time{}
	}
	s.startedAt, s.notBefore = startedAt, time.Time{}
	freshAt := startedAt
	if p.maxWait > 0 && time.Since(startedAt) >= p.maxWait {
		// The store had no change to report until then.
		freshAt = startedAt.Add(p.maxWait)
	}
	t.refresh(freshAt)
	t.recordRead(freshAt, relevant)
	f.publish(t)
	if f.relaySource() != "" {
		f.requestRows(t)
		s.notBefore = time.Now().Add(followerPause)
	}
	if p.confirms != nil {
		p.confirms.confirm(startedAt)
		f.publish(p.confirms)
	}
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

// heartbeat writes this instance's heartbeat unless its coordinator vouches for it, and reads all heartbeats unless its
// coordinator relays them.
func (f *follower) heartbeat(ctx context.Context) ([]store.Change, error) {
	if !f.hasReadHeartbeats {
		// The heartbeat of this instance's previous process must be read before it is overwritten. Those of instances that
		// start together appear while this one waits for joinInterval.
		if _, err := f.readHeartbeats(ctx); err != nil {
			return nil, err
		}
		f.hasReadHeartbeats = true
		return nil, f.writeHeartbeat(ctx, f.isStopping.Load())
	}
	knownCount := len(f.knownMembers)
	changes, err := f.syncHeartbeats(ctx)
	// A new instance joins once the heartbeats of the others confirm that they have read its own, so new members are
	// confirmed at once. A conflict means that an earlier write took effect late, after its response was lost.
	if errors.As(err, new(*store.ConflictError)) || err == nil && len(f.knownMembers) > knownCount && f.isSettledCoordinator() {
		f.heartbeatWrittenAt = time.Time{}
		more, err := f.syncHeartbeats(ctx)
		return append(changes, more...), err
	}
	return changes, err
}

// isSettledCoordinator reports whether this instance coordinates its group and has joined the fleet. When all instances
// start together, confirming each new one at once would cost several calls an instance.
func (f *follower) isSettledCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.IsCoordinator() && f.state.HasJoined()
}

// syncHeartbeats writes this instance's heartbeat if it needs one, and reads all heartbeats even if the write failed.
func (f *follower) syncHeartbeats(ctx context.Context) ([]store.Change, error) {
	f.mu.Lock()
	needsHeartbeat := f.state.NeedsHeartbeat()
	f.mu.Unlock()
	// A member leaves its coordinator some time to vouch for it.
	interval := heartbeatInterval - minHeartbeatInterval
	if f.relaySource() != "" {
		interval = heartbeatInterval + vouchTime
	}
	var err error
	if needsHeartbeat && (f.isStopping.Load() || time.Since(f.heartbeatWrittenAt) > interval) {
		err = f.writeHeartbeat(ctx, f.isStopping.Load())
	}
	if t := f.tables[f.config.Tables.Members]; f.relaySource() != "" && time.Since(t.freshAt) < heartbeatInterval {
		return nil, err
	}
	changes, readErr := f.readHeartbeats(ctx)
	if readErr != nil {
		return nil, readErr
	}
	return changes, err
}

// readHeartbeats reads the changed heartbeats and posts the list of members.
func (f *follower) readHeartbeats(ctx context.Context) ([]store.Change, error) {
	changes, err := f.tables[f.config.Tables.Members].mirror.Refresh(ctx, 0)
	if err != nil {
		return nil, err
	}
	return f.applyHeartbeatChanges(changes), nil
}

// applyHeartbeatChanges posts the list of members. All changes are relevant.
func (f *follower) applyHeartbeatChanges(changes []store.Change) []store.Change {
	for _, change := range changes {
		f.applyHeartbeatChange(change)
	}
	list := make([]entry.Member, 0, len(f.knownMembers))
	for _, m := range f.knownMembers {
		list = append(list, m)
	}
	f.Post(entry.MembersRead{Members: list})
	f.heartbeatReads = append(f.heartbeatReads, heartbeatRead{
		time.Now(), f.tables[f.config.Tables.Members].mirror.Version(),
	})
	if excess := len(f.heartbeatReads) - maxHeartbeatReads; excess > 0 {
		f.heartbeatReads = slices.Delete(f.heartbeatReads, 0, excess)
	}
	return changes
}

// heartbeatRow is the JSON of an instance's heartbeat in the store.
type heartbeatRow struct {
	Address    string        `json:"address"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	// PeerAddress accepts sessions of other instances.
	PeerAddress string `json:"peer"`
	// Capacity is the bandwidth of the instance's link in Mbit/s.
	Capacity int `json:"link,omitempty"`
	// Vouched are the members that report to the instance and write no heartbeats themselves.
	Vouched []id.Instance `json:"vouched,omitempty"`
	Leaving bool          `json:"leaving,omitempty"`
	// ReadVersion is the version of the heartbeats that the instance read last.
	ReadVersion uint64 `json:"seen,omitempty"`
	// StartTime distinguishes processes of the same name, in Unix nanoseconds of the instance's clock.
	StartTime int64 `json:"started"`
	// OfferedLoad is the number of slots that the callers' requests occupy, by service.
	OfferedLoad map[id.Service]float64 `json:"work,omitempty"`
	// PinnedLoad is the number of slots by service and by the region that the requests are restricted to.
	PinnedLoad map[id.Service]map[id.Region]float64 `json:"bound,omitempty"`
	// LocalShares is the fraction of the objects that are served in the instance's region, by service.
	LocalShares map[id.Service]float64 `json:"kept,omitempty"`
	// Suspects are requests that were in flight at upstreams that crashed.
	Suspects []suspectReport `json:"suspects,omitempty"`
}

// suspectReport is the JSON of a retry.Report: a request that was in flight at crashes of Upstreams, or that has
// completed since if there are none.
type suspectReport struct {
	Digest    id.Digest     `json:"digest"`
	Upstreams []id.Upstream `json:"upstreams,omitempty"`
	// AgeMillis is the time since the latest crash, or since the completion.
	AgeMillis int64 `json:"age"`
}

func (f *follower) writeHeartbeat(ctx context.Context, isLeaving bool) error {
	f.mu.Lock()
	now := time.Now()
	offeredLoad, pinnedLoad, reports := f.state.OfferedLoad(now), f.state.PinnedLoad(now), f.state.Suspects(now)
	localShares := f.state.LocalShares()
	vouched, upToDateAsOf := f.state.Vouched(now)
	f.mu.Unlock()
	var suspects []suspectReport
	for _, r := range reports {
		suspects = append(suspects, suspectReport{
			Digest: r.Digest, Upstreams: r.Upstreams, AgeMillis: r.Age.Milliseconds(),
		})
	}
	rows := f.tables[f.config.Tables.Members].mirror
	value, err := json.Marshal(heartbeatRow{
		Address: f.config.CallerAddress, Region: f.config.Region, DataCentre: f.config.DataCentre,
		PeerAddress: f.config.PeerAddress, Capacity: f.config.LinkCapacity, Vouched: vouched, Leaving: isLeaving, ReadVersion: f.relayedVersion(upToDateAsOf),
		StartTime: f.startTime, OfferedLoad: offeredLoad, PinnedLoad: pinnedLoad, LocalShares: localShares,
		Suspects: suspects,
	})
	if err != nil {
		return err
	}
	name := string(f.config.Instance)
	err = f.config.Feed.Put(ctx, f.config.Tables.Members, name, value, rows.RowVersion(name))
	if err == nil {
		f.heartbeatWrittenAt = now
	}
	return err
}

// heartbeatRead is a read of the heartbeats.
type heartbeatRead struct {
	at      time.Time
	version uint64
}

// maxHeartbeatReads is the number of reads that are remembered; members confirm them within contactTimeout.
const maxHeartbeatReads = 8

// relayedVersion returns the version of the latest read of the heartbeats that ended before the given time.
func (f *follower) relayedVersion(at time.Time) uint64 {
	var version uint64
	for _, r := range f.heartbeatReads {
		if r.at.Before(at) {
			version = r.version
		}
	}
	return version
}

func (f *follower) applyHeartbeatChange(change store.Change) {
	if change.Deleted {
		delete(f.knownMembers, change.Name)
		return
	}
	var heartbeat heartbeatRow
	if err := json.Unmarshal(change.Value, &heartbeat); err != nil || heartbeat.Address == "" {
		f.log.Warn("members: invalid row", "row", change.Name, "error", err)
		return
	}
	var suspects []retry.Report
	for _, s := range heartbeat.Suspects {
		suspects = append(suspects, retry.Report{
			Digest: s.Digest, Upstreams: s.Upstreams, Age: time.Duration(s.AgeMillis) * time.Millisecond,
		})
	}
	f.knownMembers[change.Name] = entry.Member{
		Instance: id.Instance(change.Name), Region: heartbeat.Region, DataCentre: heartbeat.DataCentre,
		Address: heartbeat.Address, PeerAddress: heartbeat.PeerAddress, Capacity: heartbeat.Capacity, Vouched: heartbeat.Vouched,
		Leaving: heartbeat.Leaving, Version: change.Version, ReadVersion: heartbeat.ReadVersion,
		StartTime: heartbeat.StartTime, OfferedLoad: heartbeat.OfferedLoad, PinnedLoad: heartbeat.PinnedLoad,
		LocalShares: heartbeat.LocalShares, Suspects: suspects,
	}
}
