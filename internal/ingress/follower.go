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
	// minHeartbeatInterval is the minimum time between two heartbeats, and their interval while the instance joins or
	// lacks shares; a heartbeat and a read take some 100 ms between regions.
	minHeartbeatInterval = 400 * time.Millisecond
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
// Each of its three polling goroutines has its own fields: that of the operator's rows uses evacuations, that of the
// upstreams' rows the fields from knownUpstreams to recoveredAt, and that of the heartbeats the rest.
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

// nextUpstreamPoll returns when the upstreams' rows are read next after a read that started at startedAt: in time to
// notice drains, and no later than the next pending removal.
func (f *follower) nextUpstreamPoll(startedAt time.Time) time.Time {
	interval := time.Duration(upstreamPollFraction * float64(f.config.Bounds.MaxDrainDelay))
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
	return f.state.LacksShares()
}

// nextHeartbeat returns when the next heartbeat is due. The interval is shorter while the instance has not joined,
// which it does once the others have read its heartbeat, or lacks shares.
func (f *follower) nextHeartbeat(startedAt time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.HasJoined() || f.state.LacksShares() {
		return startedAt.Add(minHeartbeatInterval)
	}
	return startedAt.Add(heartbeatInterval)
}

// poll starts a goroutine that calls read at the time that next returns, earlier when triggered, and after retryDelay
// on failure. It logs the start and the end of an outage of the store.
func (f *follower) poll(
	ctx context.Context, name string, trigger <-chan struct{}, next func(startedAt time.Time) time.Time,
	read func(context.Context) error,
) {
	f.goroutines.Go(func() {
		var outageStart time.Time
		for ctx.Err() == nil {
			startedAt := time.Now()
			err := read(ctx)
			delay := time.Until(next(startedAt))
			switch {
			case ctx.Err() != nil:
				return
			case err != nil && outageStart.IsZero():
				outageStart = startedAt
				f.log.Warn("store: lost", "part", name, "error", err)
				delay = retryDelay
			case err != nil:
				delay = retryDelay
			case !outageStart.IsZero():
				f.log.Info("store: recovered", "part", name, "outage", time.Since(outageStart))
				outageStart = time.Time{}
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

// readOperator waits for changes of the operator's rows and posts them as events.
func (f *follower) readOperator(ctx context.Context) error {
	isFirst := len(f.operatorRows.Rows()) == 0
	changes, err := f.operatorRows.Refresh(ctx, operatorMaxWait)
	if err != nil {
		return err
	}
	if isFirst && len(changes) == 0 {
		// A first read returns at once even if the table is empty.
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
			f.log.Error("operator: a row can't be read; the last valid one remains in force", "row", change.Name, "error", err)
			continue
		}
		switch row := row.(type) {
		case Document:
			f.Post(entry.ConfigurationChanged(row))
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
		f.Post(entry.EvacuationsChanged{DataCentres: list})
		f.log.Info("operator: evacuations", "datacentres", list)
	}
	return nil
}

// readUpstreams reads the changes of the upstreams' rows and posts the list if it has changed.
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
		f.Post(entry.UpstreamsChanged{Upstreams: list})
	}
	return nil
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
	newer, rows := 0, f.upstreamRows.Rows()
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

// heartbeat writes this instance's heartbeat and reads all heartbeats. It repeats both after a conflict, and if new
// members have appeared.
func (f *follower) heartbeat(ctx context.Context) error {
	if !f.hasReadHeartbeats {
		// The heartbeat of this instance's previous process must be read before it is overwritten.
		if err := f.readHeartbeats(ctx); err != nil {
			return err
		}
		f.hasReadHeartbeats = true
	}
	knownCount := len(f.knownMembers)
	err := f.syncHeartbeats(ctx)
	// A new instance joins once the heartbeats of the others confirm that they have read its own, so new members are
	// confirmed at once. A conflict means that an earlier write took effect late, after its response was lost.
	if errors.As(err, new(*store.ConflictError)) || err == nil && len(f.knownMembers) > knownCount {
		return f.syncHeartbeats(ctx)
	}
	return err
}

// syncHeartbeats writes this instance's heartbeat and reads all heartbeats even if the write failed.
func (f *follower) syncHeartbeats(ctx context.Context) error {
	err := f.writeHeartbeat(ctx, f.isStopping.Load())
	if readErr := f.readHeartbeats(ctx); readErr != nil {
		return readErr
	}
	return err
}

// readHeartbeats reads the changed heartbeats and posts the list of members.
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
	f.Post(entry.MembersRead{Members: list})
	return nil
}

// heartbeatRow is the JSON of an instance's heartbeat in the store.
type heartbeatRow struct {
	Address    string        `json:"address"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Leaving    bool          `json:"leaving,omitempty"`
	// ReadVersion is the version of the heartbeats that the instance read last.
	ReadVersion uint64 `json:"seen,omitempty"`
	// StartTime distinguishes processes of the same name, in Unix nanoseconds of the instance's clock.
	StartTime int64 `json:"started"`
	// Demand is the rate of callers' requests per second by organisation.
	Demand map[id.Organisation]float64 `json:"demand,omitempty"`
	// OfferedLoad is the number of slots that the callers' requests occupy, by service.
	OfferedLoad map[id.Service]float64 `json:"work,omitempty"`
	// PinnedLoad is the number of slots by service and by the region that the requests are restricted to.
	PinnedLoad map[id.Service]map[id.Region]float64 `json:"bound,omitempty"`
	// LocalShares is the fraction of the objects that are served in the instance's region, by service.
	LocalShares map[id.Service]float64 `json:"kept,omitempty"`
	// LimitShares is the share of each organisation's limit that the instance holds or claims.
	LimitShares map[id.Organisation]float64 `json:"held,omitempty"`
	// SpentBuckets is what was spent of each limit within the last window, in buckets of equal length, the newest last.
	SpentBuckets map[id.Organisation][]id.Tokens `json:"spent,omitempty"`
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
	demand, offeredLoad, reports := f.state.Demand(now), f.state.OfferedLoad(now), f.state.Suspects(now)
	pinnedLoad := f.state.PinnedLoad(now)
	localShares, limitShares, spentBuckets := f.state.LocalShares(), f.state.LimitShares(now), f.state.SpentBuckets(now)
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
		Address: heartbeat.Address, Leaving: heartbeat.Leaving, Version: change.Version, ReadVersion: heartbeat.ReadVersion,
		StartTime: heartbeat.StartTime, Demand: heartbeat.Demand, OfferedLoad: heartbeat.OfferedLoad,
		PinnedLoad: heartbeat.PinnedLoad, LocalShares: heartbeat.LocalShares, LimitShares: heartbeat.LimitShares,
		SpentBuckets: heartbeat.SpentBuckets, Suspects: suspects,
	}
}
