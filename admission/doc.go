// Package admission decides which requests wait for an upstream, in which order they leave, and which are rejected at
// once with a time to come back.
//
// It answers a load above the capacity: a queue without a bound serves every request late. A Line admits a request
// only while it can be expected to start in time, orders those that wait by rank and by what they can still earn, and
// gives up those that cannot be served any more.
//
// The package does no I/O and reads no clock. A Line is not safe for concurrent use.
package admission
