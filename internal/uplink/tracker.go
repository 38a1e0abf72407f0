package uplink

import (
	"time"

	"bluebellhold/id"
)

// Tracker records which upstreams the instance reached and which it did not. It is not safe for concurrent use.
type Tracker struct {
	// failures holds when each upstream was last not reached, since the last new connection to any of them.
	failures map[id.Upstream]time.Time
	// connectedAt and answeredAt are when an upstream last accepted a connection and answered a request; zero if none has.
	connectedAt, answeredAt time.Time
}

// Evidence is what a Tracker knows, for the log.
type Evidence struct {
	// Unreached is the number of upstreams that were not reached since the last new connection to any of them.
	Unreached int `json:"unreached"`
	// ConnectedAge and AnsweredAge are the times since the last new connection and the last answer, or -1 if there was none.
	ConnectedAge time.Duration `json:"connected"`
	AnsweredAge  time.Duration `json:"answered"`
}

// New returns a Tracker that knows nothing.
func New() *Tracker {
	return &Tracker{failures: make(map[id.Upstream]time.Time)}
}

// RecordConnected records that an upstream accepted a new connection.
func (t *Tracker) RecordConnected(now time.Time) {
	t.connectedAt = now
	clear(t.failures)
}

// RecordAnswered records that an upstream answered.
func (t *Tracker) RecordAnswered(now time.Time) { t.answeredAt = now }

// RecordUnreached records that an upstream accepted no connection.
func (t *Tracker) RecordUnreached(now time.Time, upstream id.Upstream) { t.failures[upstream] = now }

// Evidence returns what is known at the time now.
func (t *Tracker) Evidence(now time.Time) Evidence {
	return Evidence{
		Unreached: len(t.failures), ConnectedAge: age(now, t.connectedAt), AnsweredAge: age(now, t.answeredAt),
	}
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
