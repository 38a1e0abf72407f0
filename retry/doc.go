// Package retry decides whether a failed attempt at a request may be repeated, and recognises requests that crash
// the upstreams that run them.
//
// Budget bounds the retries of one instance, Decide applies the rules to one failure, and Suspects keeps the digests
// that were in flight on upstreams that died. None of them does I/O or is safe for concurrent use.
package retry
