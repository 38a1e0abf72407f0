package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"bluebellhold/id"
)

// GroupRow is what the coordinator of a group publishes in the store about its group's shares of the limits.
type GroupRow struct {
	Group id.Group
	// Version changes with each write.
	Version uint64
	// Writer and StartTime identify the process that wrote the row.
	Writer    id.Instance
	StartTime int64
	// Size is the number of instances in the group.
	Size int
	// Demand is the rate of requests per second of each organisation.
	Demand map[id.Organisation]float64
	// Shares are the shares of the organisations' limits that the group holds or claims.
	Shares map[id.Organisation]float64
	// IsRestored is set if the row comes from the older copy from which the store has returned; the group may have held
	// more or less since.
	IsRestored bool
}

// groupShares is a coordinator's view of the shares of all groups.
type groupShares struct {
	rows map[id.Group]*groupRecord
	// hasRead is set once the rows have been read since this instance became the coordinator.
	hasRead bool
	readAt  time.Time
	// hasReadBack is set once a row of this process has been read back.
	hasReadBack bool
	// lentTo is the coordinator that this instance lends its part of the limits to.
	lentTo id.Instance
}

type groupRecord struct {
	GroupRow
	// silence sums the time between reads that found no new row although this group's own had been renewed.
	silence time.Duration
}

func newGroupShares() groupShares {
	return groupShares{rows: make(map[id.Group]*groupRecord)}
}

// limitShare is a group's share of an organisation's limit, as a fraction.
//
// The shares of all groups add up to at most the whole limit, even if the views of their coordinators differ. A
// coordinator publishes its group's share. To grow, it publishes a claim, reads the rows of all groups, and applies the
// claim only if the sum fits. The store serialises writes and reads of the rows, so of two claims that do not fit
// together at least one is detected. A share shrinks at once and is published afterwards.
type limitShare struct {
	// held is the share in use, and claim the share that the next row publishes.
	held, claim float64
}

const (
	// shareScale keeps rows short: shares are published in ten thousandths, rounded up.
	shareScale = 1e4
	// shareTolerance exceeds the sum of the rounding of all shares.
	shareTolerance = 0.01
	// minShareGrowth is the smallest growth of a share that is worth a claim.
	minShareGrowth = 0.002
	// evenFraction is the fraction of a limit that is divided by the size of the groups regardless of the demand, so
	// that a group with new callers has some capacity and an outdated view does little harm.
	evenFraction = 0.4
	// uncertainDemand is the demand in requests per second below which the measured demand of an organisation is mostly
	// chance, so that its limit is divided by the size of the groups.
	uncertainDemand = 5.0
	// groupRemovalTimeout is the time without a new row after which a group no longer holds shares. A group that is
	// partitioned from the store goes on using its shares, so it is much longer than an outage.
	groupRemovalTimeout = 5 * time.Minute
)

// GroupRow returns the row of the group for the store, and false unless this instance coordinates the group and has
// read the rows.
//
// No growth is claimed before a row of this process has been read back, so that coordinators that start together see
// each other before one of them claims a whole limit.
func (s *State) GroupRow(now time.Time) (GroupRow, bool) {
	s.now = now
	if !s.IsCoordinator() || !s.group.shares.hasRead || !s.isConfigured {
		return GroupRow{}, false
	}
	row := GroupRow{
		Group: s.Group(), Writer: s.config.Instance, StartTime: s.config.StartTime, Size: s.groupSize(),
		Demand: make(map[id.Organisation]float64), Shares: make(map[id.Organisation]float64),
	}
	for name, o := range s.organisations {
		if s.configuration.Organisations[name].Rate <= 0 {
			continue
		}
		if rate := o.groupDemand.heartbeatValue(now); rate > 0 {
			row.Demand[name] = rate
		}
		if o.claim = s.computeClaim(name, o); o.claim > 0 {
			row.Shares[name] = o.claim
		}
	}
	return row, true
}

// WantsShares reports whether this instance coordinates a group that claims a larger share of some limit.
func (s *State) WantsShares() bool {
	if !s.IsCoordinator() {
		return false
	}
	for _, o := range s.organisations {
		if o.claim > o.held {
			return true
		}
	}
	return false
}

// LacksShares reports whether this instance coordinates a group that holds no share of some organisation's limit.
func (s *State) LacksShares() bool {
	if !s.IsCoordinator() {
		return false
	}
	for name, o := range s.organisations {
		if o.held == 0 && s.configuration.Organisations[name].Rate > 0 {
			return true
		}
	}
	return false
}

// computeClaim shrinks the share if the desired growth of the other groups exceeds the free share, and returns the
// share to publish: the current one, or a larger one up to the target if that is free.
func (s *State) computeClaim(name id.Organisation, o *organisation) float64 {
	totalDemand, totalSize := 0.0, s.totalSize()
	for _, row := range s.group.shares.rows {
		totalDemand += row.Demand[name]
	}
	targetOf := func(row *groupRecord) float64 {
		size, demand := s.groupSize(), o.groupDemand.heartbeatValue(s.now)
		if row != nil {
			size, demand = row.Size, row.Demand[name]
		}
		even := float64(size) / float64(max(totalSize, size, 1))
		return evenFraction*even + (1-evenFraction)*(demand+uncertainDemand*even)/(totalDemand+uncertainDemand)
	}
	own := s.Group()
	target := targetOf(s.group.shares.rows[own])
	free, othersDesiredGrowth := 1-o.held, 0.0
	for group, row := range s.group.shares.rows {
		if group != own {
			free -= row.Shares[name]
			othersDesiredGrowth += max(targetOf(row)-row.Shares[name], 0)
		}
	}
	if shortfall := othersDesiredGrowth - max(free, 0); target < o.held && shortfall > 0 {
		o.held = max(target, o.held-shortfall)
		s.applyShare(name, o)
	}
	if !s.group.shares.hasReadBack || s.hasRestoredRows() {
		return roundUpShare(o.held)
	}
	// All grow at the same time, so each claims a fraction of the free share in proportion to its desired growth.
	desiredGrowth := max(target-o.held, 0)
	if growth := min(desiredGrowth, free*desiredGrowth/max(desiredGrowth+othersDesiredGrowth, minShareGrowth)); growth > minShareGrowth {
		return roundUpShare(o.held + growth)
	}
	return roundUpShare(o.held)
}

// totalSize returns the number of instances of all groups.
func (s *State) totalSize() int {
	size := 0
	for _, row := range s.group.shares.rows {
		size += row.Size
	}
	return size
}

// evenShare returns the fraction of all instances that are in this group.
func (s *State) evenShare() float64 {
	size := s.groupSize()
	if row := s.group.shares.rows[s.Group()]; row != nil {
		size = row.Size
	}
	return float64(size) / float64(max(s.totalSize(), size, 1))
}

func roundUpShare(share float64) float64 { return math.Ceil(share*shareScale) / shareScale }

// handleGroupsRead applies a read of the rows of all groups.
func (s *State) handleGroupsRead(rows []GroupRow) {
	g := &s.group.shares
	elapsed := min(s.now.Sub(g.readAt), maxSilencePerRead)
	if g.readAt.IsZero() {
		elapsed = 0
	}
	g.readAt = s.now
	own := s.Group()
	isOwnRenewed := slices.ContainsFunc(rows, func(r GroupRow) bool {
		return r.Group == own && (g.rows[own] == nil || g.rows[own].Version != r.Version)
	})
	previous := g.rows
	g.rows = make(map[id.Group]*groupRecord, len(rows))
	for _, r := range rows {
		record := &groupRecord{GroupRow: r}
		known := previous[r.Group]
		if r.IsRestored && known != nil && r.Group != own {
			record.Shares = largerShares(r.Shares, known.Shares)
		}
		if known != nil && known.Version == r.Version {
			record.silence = known.silence
			if isOwnRenewed {
				record.silence += elapsed
			}
		}
		if record.silence <= groupRemovalTimeout || r.Group == own {
			g.rows[r.Group] = record
		}
	}
	if !s.IsCoordinator() {
		return
	}
	row := g.rows[own]
	switch {
	case row == nil:
	case row.IsRestored && g.hasRead:
		// A later row of this group is lost. This instance writes what it holds again.
	case row.Writer == s.config.Instance && row.StartTime == s.config.StartTime:
		g.hasReadBack = true
		s.confirmClaims(row)
	default:
		s.takeOverShares(row)
	}
	g.hasRead = true
}

// takeOverShares continues with the shares of the group's previous coordinator. Its last row may contain a claim that
// did not fit and was never applied.
//
// After the store has returned from an older copy, others may hold since what that coordinator gave up later. Until they have
// written their rows again, only the part that no group gives up is certain.
func (s *State) takeOverShares(row *groupRecord) {
	isUncertain := row.IsRestored && s.hasRestoredRows()
	for name, o := range s.organisations {
		held := max(row.Shares[name]-max(s.totalShares(name)-1, 0), 0)
		if isUncertain {
			held = min(held, evenFraction*s.evenShare())
		}
		if row.IsRestored && o.held > 0 {
			// The former coordinator reported these later.
			held = min(held, o.held)
		}
		o.held = held
		o.claim = o.held
		s.applyShare(name, o)
	}
}

// adoptShares takes over the shares that the coordinator reports, for the case that this instance has to coordinate the
// group while the store is unavailable.
func (s *State) adoptShares(shares map[id.Organisation]float64) {
	for name, o := range s.organisations {
		o.held = shares[name]
		s.applyShare(name, o)
	}
}

// largerShares returns the larger share of each limit.
func largerShares(a, b map[id.Organisation]float64) map[id.Organisation]float64 {
	larger := maps.Clone(a)
	if larger == nil {
		larger = make(map[id.Organisation]float64, len(b))
	}
	for name, share := range b {
		larger[name] = max(larger[name], share)
	}
	return larger
}

// hasRestoredRows reports whether another group has not written its row since the store has returned from an older copy.
// What it holds is unknown until then, so that no share grows.
func (s *State) hasRestoredRows() bool {
	for group, row := range s.group.shares.rows {
		if row.IsRestored && group != s.Group() {
			return true
		}
	}
	return false
}

// confirmClaims applies the claims that the store has accepted and that fit the shares of all others.
func (s *State) confirmClaims(row *groupRecord) {
	if s.hasRestoredRows() {
		return
	}
	for name, o := range s.organisations {
		if o.claim > o.held && row.Shares[name] >= o.claim && s.totalShares(name) <= 1+shareTolerance {
			o.held = o.claim
			s.applyShare(name, o)
		}
	}
}

// totalShares returns the sum of the shares of an organisation's limit that all groups hold or claim.
func (s *State) totalShares(name id.Organisation) float64 {
	var sum float64
	for _, row := range s.group.shares.rows {
		sum += row.Shares[name]
	}
	return sum
}

// heldShares returns the group's shares of all limits.
func (s *State) heldShares() map[id.Organisation]float64 {
	shares := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		if o.held > 0 {
			shares[name] = o.held
		}
	}
	return shares
}

// applyShares applies the shares of all limits.
func (s *State) applyShares() {
	for name, o := range s.organisations {
		s.applyShare(name, o)
	}
}

// applyShare sets the bucket of a limit to what this instance may give out of it.
func (s *State) applyShare(name id.Organisation, o *organisation) {
	config := s.configuration.Organisations[name]
	part := o.held * s.group.fraction
	bounds := s.config.Bounds
	rate, depth := bounds.refillRate(config)*id.TokensPerSecond(part), bounds.bucketDepth(config)*id.Tokens(part)
	if s.group.fraction >= minWholeTokenFraction && part > 0 {
		// A bucket that holds less than a token gives none.
		depth = max(depth, 1)
	}
	o.bucket.SetLimit(s.now, rate, depth)
}

// minWholeTokenFraction is the fraction of its group's part above which a coordinator may save up a whole token
// of the smallest limits. Members that are partitioned from each other hold smaller fractions, so that the tokens that
// they save up together stay within the operator's tolerance.
const minWholeTokenFraction = 0.2

// restoreShares applies the shares of the last read to a configuration that was read after it.
func (s *State) restoreShares() {
	if row := s.group.shares.rows[s.Group()]; row != nil && !s.group.shares.hasReadBack && s.IsCoordinator() {
		s.takeOverShares(row)
		return
	}
	s.applyShares()
}
