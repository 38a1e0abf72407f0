package ingress

import (
	"context"
	"time"

	"bluebellhold/store"
)

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
	// maxSilence is how long the coordinator may relay no read of any table before the store is read, if not zero. A read
	// that waits for changes on a connection that has failed says nothing of it.
	maxSilence time.Duration
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
	// outageStart is when reads began to fail, or zero, and outageLoggedAt when that was logged last.
	outageStart, outageLoggedAt time.Time
}

// outageLogInterval is the time between two lines about a table that can't be read. The reason may change during an
// outage.
const outageLogInterval = 5 * time.Second

// pause returns the time until a table is read next.
func (f *follower) pause(t *relayedTable, p followedTable, s *pollState) time.Duration {
	pause := max(time.Until(s.startedAt.Add(p.interval())), time.Until(s.notBefore))
	if f.relaySource() == "" || f.needsOwnReads(t) {
		return pause
	}
	due := t.freshAt.Add(p.maxAge)
	if p.maxSilence > 0 {
		due = earliestOf(due, latestOf(s.startedAt, f.relayedAt()).Add(p.maxSilence))
	}
	return max(pause, time.Until(due))
}

// relayedAt returns when the coordinator has last read the store, as far as it has said.
func (f *follower) relayedAt() time.Time {
	var last time.Time
	for _, t := range f.tables {
		t.mu.Lock()
		last = latestOf(last, t.relayedAt)
		t.mu.Unlock()
	}
	return last
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
		if f.pause(t, p, s) <= 0 {
			f.readTable(ctx, t, p, s)
		}
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
			s.outageStart, s.outageLoggedAt = startedAt, startedAt
			f.log.Warn("store: lost", "part", t.name, "error", err)
		} else if startedAt.Sub(s.outageLoggedAt) >= outageLogInterval {
			s.outageLoggedAt = startedAt
			f.log.Warn("store: still lost", "part", t.name, "outage", startedAt.Sub(s.outageStart), "error", err)
		}
		s.startedAt, s.notBefore = time.Time{}, time.Now().Add(retryDelay)
		f.dismissFollowers(t, relevant)
		return
	}
	if !s.outageStart.IsZero() {
		f.log.Info("store: recovered", "part", t.name, "outage", time.Since(s.outageStart))
		s.outageStart = time.Time{}
	}
	s.startedAt, s.notBefore = startedAt, time.Time{}
	t.refresh(t.mirror.ReadAt())
	t.recordRead(t.freshAt, relevant)
	f.publish(t)
	if f.relaySource() != "" {
		f.requestRows(t)
		s.notBefore = time.Now().Add(followerPause)
	}
}
