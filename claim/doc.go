// Package claim makes non-idempotent requests run at most once across all instances.
//
// Each instance has one Tracker. Before the first byte of a request is sent to an upstream, the Tracker claims the
// request's idempotency key: it inserts a row for the key into the platform's table on condition that there is none.
// The instance whose insert succeeds holds the claim and runs the request. A claim is never transferred: neither an
// expired deadline nor a failed holder allows a second run. Such a request is reported as Unknown instead.
//
// A Tracker does no I/O. Reduce takes every event with the current time and returns effects, which the instance executes
// and whose results it reports as further events, each exactly once. A Tracker is not safe for concurrent use.
//
// Deadlines in rows are wall-clock milliseconds of the instance that wrote them. Other instances use them only to
// choose between InProgress and Unknown, and to purge a row a day after it expired. Purging assumes that clocks differ
// by less than that day.
package claim
