package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/retry"
	"bluebellhold/store"
)

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
	isRestored := f.heartbeatEras.isRestored(f.tables[f.config.Tables.Members].mirror.Version())
	if isRestored {
		f.log.Warn("store: returned from an older copy", "era", f.heartbeatEras.era)
		select {
		case f.storeRestored <- struct{}{}:
		default:
			// A return is already signalled.
		}
	}
	for _, change := range changes {
		m, isKnown := f.knownMembers[change.Name]
		if isKnown && change.Deleted && isRestored && m.Instance != f.config.Instance {
			// The instance writes its heartbeat again, unless it has ended since.
			m.IsRestored = true
			f.knownMembers[change.Name] = m
			continue
		}
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
	// Limits are the rate limits that upstreams name.
	Limits []limitReport `json:"limits,omitempty"`
	// Leavers are the upstreams that have said that they leave.
	Leavers []leavingReport `json:"leavers,omitempty"`
	// Severed are those of the instance itself and the members that it vouches for that reach no upstream.
	Severed []id.Instance `json:"severed,omitempty"`
	// Era is that of the store as the instance knew it; zero if it knew none.
	Era uint64 `json:"era,omitempty"`
}

// limitReport is the JSON of a placement.LimitReport.
type limitReport struct {
	Upstream    id.Upstream    `json:"upstream"`
	Incarnation id.Incarnation `json:"process"`
	// Rate is in requests per second; null if the upstream has stopped to name a limit.
	Rate *id.TokensPerSecond `json:"rate"`
	// AgeMillis is the time since the response that said so.
	AgeMillis int64 `json:"age"`
}

// leavingReport is the JSON of an entry.LeavingReport.
type leavingReport struct {
	Upstream    id.Upstream    `json:"upstream"`
	Incarnation id.Incarnation `json:"process"`
	// AgeMillis is the time since the response that said so.
	AgeMillis int64 `json:"age"`
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
	localShares, limits := f.state.LocalShares(), f.state.UpstreamLimits(now)
	vouched, upToDateAsOf := f.state.Vouched(now)
	severed, leaving := f.state.Severed(), f.state.Leaving(now)
	f.mu.Unlock()
	var suspects []suspectReport
	for _, r := range reports {
		suspects = append(suspects, suspectReport{
			Digest: r.Digest, Upstreams: r.Upstreams, AgeMillis: r.Age.Milliseconds(),
		})
	}
	var limitRows []limitReport
	for _, r := range limits {
		limitRows = append(limitRows, limitReport{
			Upstream: r.Upstream, Incarnation: r.Incarnation, Rate: r.Limit, AgeMillis: r.Age.Milliseconds(),
		})
	}
	var leavers []leavingReport
	for _, r := range leaving {
		leavers = append(leavers, leavingReport{Upstream: r.Upstream, Incarnation: r.Incarnation, AgeMillis: r.Age.Milliseconds()})
	}
	rows := f.tables[f.config.Tables.Members].mirror
	value, err := json.Marshal(heartbeatRow{
		Address: f.config.CallerAddress, Region: f.config.Region, DataCentre: f.config.DataCentre,
		PeerAddress: f.config.PeerAddress, Capacity: f.config.LinkCapacity, Vouched: vouched, Leaving: isLeaving, ReadVersion: f.relayedVersion(upToDateAsOf),
		StartTime: f.startTime, OfferedLoad: offeredLoad, PinnedLoad: pinnedLoad, LocalShares: localShares,
		Suspects: suspects, Limits: limitRows, Leavers: leavers, Severed: severed, Era: store.EraOf(rows.Version()),
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
		f.oddMembers.forget(change.Name)
		delete(f.knownMembers, change.Name)
		return
	}
	member, err := decodeHeartbeat(change)
	if err != nil {
		f.oddMembers.report(f.log, log.WarnLevel, "members: invalid row", change.Name, err)
		return
	}
	f.oddMembers.forget(change.Name)
	f.knownMembers[change.Name] = member
}

// decodeHeartbeat decodes the heartbeat of an instance of this or another release.
func decodeHeartbeat(change store.Change) (entry.Member, error) {
	var heartbeat heartbeatRow
	if err := json.Unmarshal(change.Value, &heartbeat); err != nil {
		return entry.Member{}, err
	}
	if !isAddress(heartbeat.Address) {
		return entry.Member{}, &RowValueError{Field: "address"}
	}
	if !isAddress(heartbeat.PeerAddress) {
		heartbeat.PeerAddress = ""
	}
	var suspects []retry.Report
	for _, s := range heartbeat.Suspects {
		if age := ageOf(s.AgeMillis); age >= 0 {
			suspects = append(suspects, retry.Report{Digest: s.Digest, Upstreams: s.Upstreams, Age: age})
		}
	}
	var leavers []entry.LeavingReport
	for _, l := range heartbeat.Leavers {
		leavers = append(leavers, entry.LeavingReport{
			Upstream: l.Upstream, Incarnation: l.Incarnation, Age: ageOf(l.AgeMillis),
		})
	}
	if heartbeat.Era == 0 {
		// The instance does not know eras; it has read this one.
		heartbeat.ReadVersion = store.VersionInEra(store.EraOf(change.Version), heartbeat.ReadVersion)
	}
	return entry.Member{
		Instance: id.Instance(change.Name), Region: heartbeat.Region, DataCentre: heartbeat.DataCentre,
		Address: heartbeat.Address, PeerAddress: heartbeat.PeerAddress, Capacity: heartbeat.Capacity, Vouched: heartbeat.Vouched,
		Leaving: heartbeat.Leaving, Version: change.Version, ReadVersion: heartbeat.ReadVersion,
		StartTime: heartbeat.StartTime, OfferedLoad: possibleLoads(heartbeat.OfferedLoad),
		PinnedLoad: possiblePinnedLoads(heartbeat.PinnedLoad), LocalShares: possibleShares(heartbeat.LocalShares),
		Suspects: suspects, Limits: possibleLimits(heartbeat.Limits), Leavers: leavers, Severed: heartbeat.Severed,
		IsRestored: isRestored(heartbeat.Era, change),
	}, nil
}
