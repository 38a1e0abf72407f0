// Package claim makes requests that may not be repeated run at most once across all instances.
//
// A Book is the part of one instance. Before the first byte of a request is sent to an upstream, its Book inserts a
// row for the request's idempotency key into the platform's table; whoever inserted the row may run the request. A
// row is never overtaken: neither an expired deadline nor a lost holder allows a second run. Such a request is
// reported as Unknown instead.
//
// A Book does no I/O. Reduce takes every event with the current time and returns effects, which the caller executes
// and whose results it reports as further events, each exactly once. A Book is not safe for concurrent use.
//
// Deadlines in rows are wall-clock milliseconds of the instance that wrote them. Other instances use them only to
// choose between InProgress and Unknown, and to clear a row a day after it expired. Clearing assumes that clocks
// differ by less than that day.
package claim
