// Package retry decides whether a failed attempt may be retried, and detects poison requests, which crash the upstreams
// that run them.
//
// Budget bounds the retries of one instance, Decide applies the retry rules to one failed attempt, and Suspects tracks
// the digests of requests that were in flight at upstreams that crashed. None of them does I/O or is safe for
// concurrent use.
package retry
