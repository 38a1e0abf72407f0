// Package ingress runs an instance that is configured from a store: it accepts callers' requests, forwards them to
// upstreams, serves look-ups and readiness checks, and follows the changes in the store. The reducer in package entry
// makes all decisions; this package does the I/O.
package ingress
