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
	operatorWait = 4500 * time.Millisecond
	// upstreamsPart is the part of the time in which a leaving upstream must be known that passes between two reads of
	// the upstreams' rows. They change many times a second, so waiting for a change would read all the time.
	upstreamsPart = 0.6
	// leastUpstreamsEvery and mostUpstreamsEvery bound the pace of these reads.
	leastUpstreamsEvery = 500 * time.Millisecond
	mostUpstreamsEvery  = 3 * time.Second
	// heartbeatEvery is the pace of this instance's heartbeat and of reading those of others.
	heartbeatEvery = 2 * time.Second
	// joinEvery is the least time between two heartbeats, and the pace of an instance that waits for the others to see it;
	// a heartbeat and a read take some 100 ms between regions.
	joinEvery = 400 * time.Millisecond
	// failurePause is the pause after a failed read.
	failurePause = 300 * time.Millisecond
	// returnGrace is how long the entries of upstreams that vanished during an outage of the store are kept after its
	// return; upstreams that live write theirs again within 2 s.
	returnGrace = 2200 * time.Millisecond
	// outageAfter is the time without an answer that counts as an outage.
	outageAfter = mostUpstreamsEvery + callMargin
	// callMargin is more than a read takes while the store answers.
	callMargin = time.Second
)

// follower keeps an instance in step with the store.
type follower struct {
	*Instance
	operator  *store.Mirror
	upstreams *store.Mirror
	members   *store.Mirror

	evacuations map[string]id.DataCentre
	known       map[string]entry.Upstream
	vanished    map[string]time.Time
	readAt      time.Time
	returnedAt  time.Time
	addresses   map[string]entry.Member
	hasRead     bool
}

func newFollower(i *Instance) *follower {
	return &follower{
		Instance:    i,
		operator:    store.NewMirror(i.config.Feed, i.config.Tables.Operator),
		upstreams:   store.NewMirror(i.config.Feed, i.config.Tables.Upstreams),
		members:     store.NewMirror(i.config.Feed, i.config.Tables.Members),
		evacuations: make(map[string]id.DataCentre),
		known:       make(map[string]entry.Upstream),
		vanished:    make(map[string]time.Time),
		addresses:   make(map[string]entry.Member),
	}
}

func (f *follower) start(ctx context.Context) {
	atOnce := func(started time.Time) time.Time { return started }
	f.repeat(ctx, "operator", nil, atOnce, f.readOperator)
	f.repeat(ctx, "upstreams", nil, f.nextUpstreams, f.readUpstreams)
	f.repeat(ctx, "members", f.beatSoon, f.nextBeat, f.beat)
}

// nextUpstreams returns when the upstreams' rows are read next after a read that began at the given time: in time for
// their drains, and no later than entries that vanished during an outage of the store are given up.
func (f *follower) nextUpstreams(started time.Time) time.Time {
	every := time.Duration(upstreamsPart * float64(f.config.Bounds.MaxDrainDelay))
	next := started.Add(min(max(every, leastUpstreamsEvery), mostUpstreamsEvery))
	for _, at := range f.vanished {
		if at.Before(next) {
			next = at
		}
	}
	return next
}

func (f *follower) lacksParts() bool {
	f.m.Lock()
	defer f.m.Unlock()
	return f.state.LacksShares()
}

// nextBeat returns when the next heartbeat is due; a new instance waits for the others to see it.
func (f *follower) nextBeat(started time.Time) time.Time {
	f.m.Lock()
	defer f.m.Unlock()
	if !f.state.HasJoined() || f.state.LacksShares() {
		return started.Add(joinEvery)
	}
	return started.Add(heartbeatEvery)
}

// repeat calls read when it is due, when soon says so, and a little after a failure. It logs when the store is lost and regained.
func (f *follower) repeat(ctx context.Context, part string, soon <-chan struct{}, next func(started time.Time) time.Time, read func(context.Context) error) {
	f.work.Go(func() {
		var lostAt time.Time
		for ctx.Err() == nil {
			started := time.Now()
			err := read(ctx)
			pause := time.Until(next(started))
			switch {
			case ctx.Err() != nil:
				return
			case err != nil && lostAt.IsZero():
				lostAt = started
				f.log.Warn("store: lost", "part", part, "error", err)
				pause = failurePause
			case err != nil:
				pause = failurePause
			case !lostAt.IsZero():
				f.log.Info("store: regained", "part", part, "outage", time.Since(lostAt))
				lostAt = time.Time{}
			}
			select {
			case <-time.After(max(pause, 0)):
			case <-soon:
				time.Sleep(time.Until(started.Add(joinEvery)))
			case <-ctx.Done():
			}
		}
	})
}

// readOperator waits for changes of the operator's rows and puts them in force.
func (f *follower) readOperator(ctx context.Context) error {
	isFirst := len(f.operator.Rows()) == 0
	changes, err := f.operator.Refresh(ctx, operatorWait)
	if err != nil {
		return err
	}
	if isFirst && len(changes) == 0 {
		// Nothing is there yet, and a first read does not wait.
		time.Sleep(failurePause)
	}
	isMoved := false
	for _, change := range changes {
		if change.Deleted {
			_, isEvacuation := f.evacuations[change.Name]
			isMoved = isMoved || isEvacuation
			delete(f.evacuations, change.Name)
			continue
		}
		row, err := f.config.Decoder.Operator(change.Name, change.Value)
		if err != nil {
			f.log.Error("operator: a row can't be read; the last good one stays in force", "row", change.Name, "error", err)
			continue
		}
		switch row := row.(type) {
		case Document:
			f.Post(entry.ConfigurationChanged(row))
			f.log.Info("operator: configuration", "version", row.Configuration.Version)
			if f.lacksParts() {
				f.hurry()
			}
		case Evacuation:
			f.evacuations[change.Name] = row.DataCentre
			isMoved = true
		}
	}
	if isMoved {
		list := make([]id.DataCentre, 0, len(f.evacuations))
		for _, d := range f.evacuations {
			list = append(list, d)
		}
		f.Post(entry.EvacuationsChanged{DataCentres: list})
		f.log.Info("operator: evacuations", "datacentres", list)
	}
	return nil
}

// readUpstreams takes in the changes of the upstreams' rows.
func (f *follower) readUpstreams(ctx context.Context) error {
	changes, err := f.upstreams.Refresh(ctx, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	if !f.readAt.IsZero() && now.Sub(f.readAt) > outageAfter {
		f.returnedAt = now
	}
	isFirst := f.readAt.IsZero()
	f.readAt = now
	isMoved := isFirst
	for _, change := range changes {
		isMoved = f.takeUpstream(now, change) || isMoved
	}
	for name, at := range f.vanished {
		if !now.Before(at) {
			delete(f.vanished, name)
			delete(f.known, name)
			isMoved = true
		}
	}
	if isMoved {
		list := make([]entry.Upstream, 0, len(f.known))
		for _, u := range f.known {
			list = append(list, u)
		}
		f.Post(entry.UpstreamsChanged{Upstreams: list})
	}
	return nil
}

// takeUpstream takes in one row and reports whether the list of upstreams has changed.
func (f *follower) takeUpstream(now time.Time, change store.Change) bool {
	before, isKnown := f.known[change.Name]
	if change.Deleted {
		if !isKnown {
			return false
		}
		if now.Sub(f.returnedAt) < returnGrace && !before.Draining && !f.isOld(change.Version) {
			f.vanished[change.Name] = f.returnedAt.Add(returnGrace)
			return false
		}
		delete(f.known, change.Name)
		f.log.Debug("upstreams: gone", "upstream", change.Name)
		return true
	}
	delete(f.vanished, change.Name)
	u, err := f.config.Decoder.Upstream(now, change.Name, change.Value)
	if err != nil {
		f.log.Warn("upstreams: a row can't be read; it names no upstream", "row", change.Name, "error", err)
		delete(f.known, change.Name)
		return isKnown
	}
	f.known[change.Name] = u
	if !isKnown || u.Draining != before.Draining || u.Incarnation != before.Incarnation {
		f.log.Info("upstreams: changed", "upstream", u.ID, "service", u.Service, "datacentre", u.DataCentre,
			"draining", u.Draining)
	}
	return !isKnown || !isSame(u, before, now)
}

// isOld reports whether most upstreams have written their rows after the version. The store then served them for a
// while, and one whose row was removed before would have written it again.
func (f *follower) isOld(version uint64) bool {
	newer, rows := 0, f.upstreams.Rows()
	for _, row := range rows {
		if row.Version > version {
			newer++
		}
	}
	return newer*4 > len(rows)*3
}

// isSame reports whether two readings of an upstream differ only by the passing of time.
func isSame(a, b entry.Upstream, now time.Time) bool {
	if now.Before(a.ColdUntil) != now.Before(b.ColdUntil) {
		return false
	}
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

// beat writes this instance's heartbeat and reads those of all.
func (f *follower) beat(ctx context.Context) error {
	if !f.hasRead {
		// The heartbeat of a predecessor must be read before it is overwritten.
		if err := f.readMembers(ctx); err != nil {
			return err
		}
		f.hasRead = true
	}
	known := len(f.addresses)
	err := f.tell(ctx)
	// A new instance waits until the others say that they have seen it. A row with another version was written late by a
	// call whose answer was lost.
	if errors.As(err, new(*store.ConflictError)) || err == nil && len(f.addresses) > known {
		return f.tell(ctx)
	}
	return err
}

// tell writes this instance's heartbeat and reads those of all, whether the write has failed or not.
func (f *follower) tell(ctx context.Context) error {
	err := f.writeMember(ctx, f.isStopping.Load())
	if failed := f.readMembers(ctx); failed != nil {
		return failed
	}
	return err
}

// readMembers takes in the heartbeats of all instances.
func (f *follower) readMembers(ctx context.Context) error {
	changes, err := f.members.Refresh(ctx, 0)
	if err != nil {
		return err
	}
	for _, change := range changes {
		f.takeMember(change)
	}
	list := make([]entry.Member, 0, len(f.addresses))
	for _, m := range f.addresses {
		list = append(list, m)
	}
	f.Post(entry.MembersRead{Members: list})
	return nil
}

// member is the heartbeat row of an instance.
type member struct {
	Address    string        `json:"address"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Leaving    bool          `json:"leaving,omitempty"`
	// Seen is the version of the heartbeats that were read last.
	Seen uint64 `json:"seen,omitempty"`
	// Started tells processes of the same name apart.
	Started int64 `json:"started"`
	// Demand is in requests per second by organisation.
	Demand map[id.Organisation]float64 `json:"demand,omitempty"`
	// Work is in slots by service.
	Work map[id.Service]float64 `json:"work,omitempty"`
	// Bound is in slots by service and by the region that requests are bound to.
	Bound map[id.Service]map[id.Region]float64 `json:"bound,omitempty"`
	// Kept is the part of the objects that stay in the region by service.
	Kept map[id.Service]float64 `json:"kept,omitempty"`
	// Held is the part of each organisation's limit that the instance holds or claims.
	Held map[id.Organisation]float64 `json:"held,omitempty"`
	// Spent is what has been spent of each limit within the last window, in equal spans, the newest last.
	Spent map[id.Organisation][]id.Tokens `json:"spent,omitempty"`
	// Suspects are requests that have crashed upstreams.
	Suspects []suspect `json:"suspects,omitempty"`
}

// suspect is a request that has crashed upstreams, or has finished since if there are none.
type suspect struct {
	Digest    id.Digest     `json:"digest"`
	Upstreams []id.Upstream `json:"upstreams,omitempty"`
	// Age is the time since the last of them, in milliseconds.
	Age int64 `json:"age"`
}

func (f *follower) writeMember(ctx context.Context, isLeaving bool) error {
	f.m.Lock()
	now := time.Now()
	demand, work, reports := f.state.Demand(now), f.state.OfferedLoad(now), f.state.Suspects(now)
	bound := f.state.PinnedLoad(now)
	kept, held, spent := f.state.LocalShares(), f.state.LimitShares(now), f.state.SpentBuckets(now)
	f.m.Unlock()
	var suspects []suspect
	for _, r := range reports {
		suspects = append(suspects, suspect{Digest: r.Digest, Upstreams: r.Upstreams, Age: r.Age.Milliseconds()})
	}
	value, err := json.Marshal(member{
		Address: f.config.Callers, Region: f.config.Region, DataCentre: f.config.DataCentre, Leaving: isLeaving,
		Seen: f.members.Version(), Started: f.started, Demand: demand, Work: work, Bound: bound,
		Kept: kept, Held: held, Spent: spent, Suspects: suspects,
	})
	if err != nil {
		return err
	}
	name := string(f.config.Instance)
	return f.config.Feed.Put(ctx, f.config.Tables.Members, name, value, f.members.RowVersion(name))
}

func (f *follower) takeMember(change store.Change) {
	if change.Deleted {
		delete(f.addresses, change.Name)
		return
	}
	var m member
	if err := json.Unmarshal(change.Value, &m); err != nil || m.Address == "" {
		f.log.Warn("members: a row can't be read", "row", change.Name, "error", err)
		return
	}
	var suspects []retry.Report
	for _, s := range m.Suspects {
		suspects = append(suspects, retry.Report{
			Digest: s.Digest, Upstreams: s.Upstreams, Age: time.Duration(s.Age) * time.Millisecond,
		})
	}
	f.addresses[change.Name] = entry.Member{
		Instance: id.Instance(change.Name), Region: m.Region, DataCentre: m.DataCentre, Address: m.Address,
		Leaving: m.Leaving, Version: change.Version, ReadVersion: m.Seen, StartTime: m.Started, Demand: m.Demand, OfferedLoad: m.Work,
		PinnedLoad: m.Bound, LocalShares: m.Kept, LimitShares: m.Held, SpentBuckets: m.Spent, Suspects: suspects,
	}
}
