// Package gateway is the callers' HTTP side of an instance and the forwarding of requests to upstreams.
//
// It takes no decision: each request becomes an event for the reducer, and the effects that come back say what to do.
// An answer that fits into the buffer is read whole before its first byte goes to the caller, so that a slow caller
// holds no upstream slot and a broken answer can still be retried. A larger answer is streamed, and if it breaks off,
// the caller's connection is closed.
package gateway
