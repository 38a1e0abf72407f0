package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/retry"
	"bluebellhold/store"
)

const (
	// operatorWait is how long a read of the operator's rows waits for a change. It bounds how long a connection that
	// has gone silent keeps changes from the instance; the operator's bounds start 4 s after such a loss.
	operatorMaxWait = 4500 * time.Millisecond
	// upstreamsPart is the part of the time in which a leaving upstream must be known that passes between two reads of
	// the upstreams' rows. They change many times a second, so waiting for a change would read all the time.
	upstreamPollFraction = 0.6
	// leastUpstreamsEvery and mostUpstreamsEvery bound the pace of these reads.
	minUpstreamPollInterval = 500 * time.Millisecond
	maxUpstreamPollInterval = 3 * time.Second
	// heartbeatEvery is the pace of this instance's heartbeat and of reading those of others.
	heartbeatInterval = 2 * time.Second
	// joinEvery is the least time between two heartbeats, and the pace of an instance that waits for the others to see it;
	// a heartbeat and a read take some 100 ms between regions.
	minHeartbeatInterval = 400 * time.Millisecond
	// failurePause is the pause after a failed read.
	retryDelay = 300 * time.Millisecond
	// returnGrace is how long the entries of upstreams that vanished during an outage of the store are kept after its
	// return; upstreams that live write theirs again within 2 s.
	recoveryGrace = 2200 * time.Millisecond
	// outageAfter is the time without an answer that counts as an outage.
	outageThreshold = maxUpstreamPollInterval + readTimeMargin
	// callMargin is more than a read takes while the store answers.
	readTimeMargin = time.Second
)

// follower keeps an instance in step with the store.
type follower struct {
	*Instance
	operatorRows  *store.Mirror
	upstreamRows  *store.Mirror
	heartbeatRows *store.Mirror

	evacuations       map[string]id.DataCentre
	knownUpstreams    map[string]entry.Upstream
	pendingRemovals   map[string]time.Time
	upstreamsReadAt   time.Time
	recoveredAt       time.Time
	knownMembers      map[string]entry.Member
	hasReadHeartbeats bool
}

func newFollower(i *Instance) *follower {
	return &follower{
		Instance:        i,
		operatorRows:    store.NewMirror(i.config.Feed, i.config.Tables.Operator),
		upstreamRows:    store.NewMirror(i.config.Feed, i.config.Tables.Upstreams),
		heartbeatRows:   store.NewMirror(i.config.Feed, i.config.Tables.Members),
		evacuations:     make(map[string]id.DataCentre),
		knownUpstreams:  make(map[string]entry.Upstream),
		pendingRemovals: make(map[string]time.Time),
		knownMembers:    make(map[string]entry.Member),
	}
}

func (f *follower) start(ctx context.Context) {
	immediately := func(startedAt time.Time) time.Time { return startedAt }
	f.poll(ctx, "operator", nil, immediately, f.readOperator)
	f.poll(ctx, "upstreams", nil, f.nextUpstreamPoll, f.readUpstreams)
	f.poll(ctx, "members", f.heartbeatRequested, f.nextHeartbeat, f.heartbeat)
}

// nextUpstreams returns when the upstreams' rows are read next after a read that began at the given time: in time for
// their drains, and no later than entries that vanished during an outage of the store are given up.
func (f *follower) nextUpstreamPoll(startedAt time.Time) time.Time {
	interval := time.Duration(upstreamPollFraction * float64(f.config.Bounds.Drain))
	next := startedAt.Add(min(max(interval, minUpstreamPollInterval), maxUpstreamPollInterval))
	for _, removeAt := range f.pendingRemovals {
		if removeAt.Before(next) {
			next = removeAt
		}
	}
	return next
}

func (f *follower) lacksShares() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.LacksParts()
}

// nextBeat returns when the next heartbeat is due; a new instance waits for the others to see it.
func (f *follower) nextHeartbeat(startedAt time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.HasJoined() || f.state.LacksParts() {
		return startedAt.Add(minHeartbeatInterval)
	}
	return startedAt.Add(heartbeatInterval)
}

// repeat calls read when it is due, when soon says so, and a little after a failure. It logs when the store is lost and regained.
func (f *follower) poll(
	ctx context.Context, name string, trigger <-chan struct{}, next func(startedAt time.Time) time.Time,
	read func(context.Context) error,
) {
	f.goroutines.Go(func() {
		var lostAt time.Time
		for ctx.Err() == nil {
			startedAt := time.Now()
			err := read(ctx)
			delay := time.Until(next(startedAt))
			switch {
			case ctx.Err() != nil:
				return
			case err != nil && lostAt.IsZero():
				lostAt = startedAt
				f.log.Warn("store: lost", "part", name, "error", err)
				delay = retryDelay
			case err != nil:
				delay = retryDelay
			case !lostAt.IsZero():
				f.log.Info("store: regained", "part", name, "outage", time.Since(lostAt))
				lostAt = time.Time{}
			}
			select {
			case <-time.After(max(delay, 0)):
			case <-trigger:
				time.Sleep(time.Until(startedAt.Add(minHeartbeatInterval)))
			case <-ctx.Done():
			}
		}
	})
}

// readOperator waits for changes of the operator's rows and puts them in force.
func (f *follower) readOperator(ctx context.Context) error {
	isFirst := len(f.operatorRows.Rows()) == 0
	changes, err := f.operatorRows.Refresh(ctx, operatorMaxWait)
	if err != nil {
		return err
	}
	if isFirst && len(changes) == 0 {
		// Nothing is there yet, and a first read does not wait.
		time.Sleep(retryDelay)
	}
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
			f.log.Error("operator: a row can't be read; the last good one stays in force", "row", change.Name, "error", err)
			continue
		}
		switch row := row.(type) {
		case Document:
			f.Post(entry.Configured(row))
			f.log.Info("operator: configuration", "version", row.Configuration.Version)
			if f.lacksShares() {
				f.requestHeartbeat()
			}
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
		f.Post(entry.EvacuationsListed{DataCentres: list})
		f.log.Info("operator: evacuations", "datacentres", list)
	}
	return nil
}

// readUpstreams takes in the changes of the upstreams' rows.
func (f *follower) readUpstreams(ctx context.Context) error {
	changes, err := f.upstreamRows.Refresh(ctx, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	if !f.upstreamsReadAt.IsZero() && now.Sub(f.upstreamsReadAt) > outageThreshold {
		f.recoveredAt = now
	}
	isFirst := f.upstreamsReadAt.IsZero()
	f.upstreamsReadAt = now
	hasChanged := isFirst
	for _, change := range changes {
		hasChanged = f.applyUpstreamChange(now, change) || hasChanged
	}
	for name, removeAt := range f.pendingRemovals {
		if !now.Before(removeAt) {
			delete(f.pendingRemovals, name)
			delete(f.knownUpstreams, name)
			hasChanged = true
		}
	}
	if hasChanged {
		list := make([]entry.Upstream, 0, len(f.knownUpstreams))
		for _, u := range f.knownUpstreams {
			list = append(list, u)
		}
		f.Post(entry.UpstreamsListed{Upstreams: list})
	}
	return nil
}

// takeUpstream takes in one row and reports whether the list of upstreams has changed.
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
		f.log.Debug("upstreams: gone", "upstream", change.Name)
		return true
	}
	delete(f.pendingRemovals, change.Name)
	u, err := f.config.RowDecoder.DecodeUpstreamRow(now, change.Name, change.Value)
	if err != nil {
		f.log.Warn("upstreams: a row can't be read; it names no upstream", "row", change.Name, "error", err)
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

// isOld reports whether most upstreams have written their rows after the version. The store then served them for a
// while, and one whose row was removed before would have written it again.
func (f *follower) mostRowsNewerThan(version uint64) bool {
	newer, rows := 0, f.upstreamRows.Rows()
	for _, row := range rows {
		if row.Version > version {
			newer++
		}
	}
	return newer*4 > len(rows)*3
}

// isSame reports whether two readings of an upstream differ only by the passing of time.
func isUnchanged(a, b entry.Upstream, now time.Time) bool {
	if now.Before(a.ColdUntil) != now.Before(b.ColdUntil) {
		return false
	}
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

// beat writes this instance's heartbeat and reads those of all.
func (f *follower) heartbeat(ctx context.Context) error {
	if !f.hasReadHeartbeats {
		// The heartbeat of a predecessor must be read before it is overwritten.
		if err := f.readHeartbeats(ctx); err != nil {
			return err
		}
		f.hasReadHeartbeats = true
	}
	knownCount := len(f.knownMembers)
	err := f.exchangeHeartbeats(ctx)
	// A new instance waits until the others say that they have seen it. A row with another version was written late by a
	// call whose answer was lost.
	if errors.As(err, new(*store.ConflictError)) || err == nil && len(f.knownMembers) > knownCount {
		return f.exchangeHeartbeats(ctx)
	}
	return err
}

// tell writes this instance's heartbeat and reads those of all, whether the write has failed or not.
func (f *follower) exchangeHeartbeats(ctx context.Context) error {
	err := f.writeHeartbeat(ctx, f.isStopping.Load())
	if readErr := f.readHeartbeats(ctx); readErr != nil {
		return readErr
	}
	return err
}

// readMembers takes in the heartbeats of all instances.
func (f *follower) readHeartbeats(ctx context.Context) error {
	changes, err := f.heartbeatRows.Refresh(ctx, 0)
	if err != nil {
		return err
	}
	for _, change := range changes {
		f.applyHeartbeatChange(change)
	}
	list := make([]entry.Member, 0, len(f.knownMembers))
	for _, m := range f.knownMembers {
		list = append(list, m)
	}
	f.Post(entry.MembersListed{Members: list})
	return nil
}

// member is the heartbeat row of an instance.
type heartbeatRow struct {
	Address    string        `json:"address"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Leaving    bool          `json:"leaving,omitempty"`
	// Seen is the version of the heartbeats that were read last.
	ReadVersion uint64 `json:"seen,omitempty"`
	// Started tells processes of the same name apart.
	StartTime int64 `json:"started"`
	// Demand is in requests per second by organisation.
	Demand map[id.Organisation]float64 `json:"demand,omitempty"`
	// Work is in slots by service.
	OfferedLoad map[id.Service]float64 `json:"work,omitempty"`
	// Bound is in slots by service and by the region that requests are bound to.
	PinnedLoad map[id.Service]map[id.Region]float64 `json:"bound,omitempty"`
	// Kept is the part of the objects that stay in the region by service.
	LocalShares map[id.Service]float64 `json:"kept,omitempty"`
	// Held is the part of each organisation's limit that the instance holds or claims.
	LimitShares map[id.Organisation]float64 `json:"held,omitempty"`
	// Spent is what has been spent of each limit within the last window, in equal spans, the newest last.
	SpentBuckets map[id.Organisation][]id.Tokens `json:"spent,omitempty"`
	// Suspects are requests that have crashed upstreams.
	Suspects []suspectReport `json:"suspects,omitempty"`
}

// suspect is a request that has crashed upstreams, or has finished since if there are none.
type suspectReport struct {
	Digest    id.Digest     `json:"digest"`
	Upstreams []id.Upstream `json:"upstreams,omitempty"`
	// Age is the time since the last of them, in milliseconds.
	AgeMillis int64 `json:"age"`
}

func (f *follower) writeHeartbeat(ctx context.Context, isLeaving bool) error {
	f.mu.Lock()
	now := time.Now()
	demand, offeredLoad, reports := f.state.Demand(now), f.state.Work(now), f.state.Suspects(now)
	pinnedLoad := f.state.Bound(now)
	localShares, limitShares, spentBuckets := f.state.Kept(), f.state.Held(now), f.state.Spent(now)
	f.mu.Unlock()
	var suspects []suspectReport
	for _, r := range reports {
		suspects = append(suspects, suspectReport{
			Digest: r.Digest, Upstreams: r.Upstreams, AgeMillis: r.Age.Milliseconds(),
		})
	}
	value, err := json.Marshal(heartbeatRow{
		Address: f.config.CallerAddress, Region: f.config.Region, DataCentre: f.config.DataCentre, Leaving: isLeaving,
		ReadVersion: f.heartbeatRows.Version(), StartTime: f.startTime, Demand: demand, OfferedLoad: offeredLoad,
		PinnedLoad: pinnedLoad, LocalShares: localShares, LimitShares: limitShares, SpentBuckets: spentBuckets,
		Suspects: suspects,
	})
	if err != nil {
		return err
	}
	name := string(f.config.Instance)
	return f.config.Feed.Put(ctx, f.config.Tables.Members, name, value, f.heartbeatRows.RowVersion(name))
}

func (f *follower) applyHeartbeatChange(change store.Change) {
	if change.Deleted {
		delete(f.knownMembers, change.Name)
		return
	}
	var heartbeat heartbeatRow
	if err := json.Unmarshal(change.Value, &heartbeat); err != nil || heartbeat.Address == "" {
		f.log.Warn("members: a row can't be read", "row", change.Name, "error", err)
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
		Address: heartbeat.Address, Leaving: heartbeat.Leaving, Version: change.Version, Seen: heartbeat.ReadVersion,
		Started: heartbeat.StartTime, Demand: heartbeat.Demand, Work: heartbeat.OfferedLoad,
		Bound: heartbeat.PinnedLoad, Kept: heartbeat.LocalShares, Held: heartbeat.LimitShares,
		Spent: heartbeat.SpentBuckets, Suspects: suspects,
	}
}
