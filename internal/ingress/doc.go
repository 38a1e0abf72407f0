// Package ingress runs an entry instance that follows a store: it accepts callers' requests, forwards them to
// upstreams, answers look-ups and readiness checks, and keeps up with the store. Package entry takes all decisions;
// this package carries them out.
package ingress
