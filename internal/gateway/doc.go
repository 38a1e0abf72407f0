// Package gateway serves the HTTP requests of callers and forwards them to upstreams.
//
// It makes no decisions: it posts each request as an event to the reducer and executes the effects that come back.
// A response that fits into the buffer is read completely before its first byte is sent to the caller, so that a slow
// caller does not occupy an upstream slot and a broken response can still be retried. A larger response is streamed; if
// it breaks off, the caller's connection is closed.
package gateway
