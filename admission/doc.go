// Package admission queues the requests of a service that wait for an upstream.
//
// An unbounded queue under overload serves every request late. A Queue therefore estimates the wait of a new request,
// so that the caller can refuse it early if it would not start in time, and the time at which a refused request should
// be retried. It sorts waiting requests by priority and then by whether they can still meet their objective, and
// removes expired ones.
//
// The package does no I/O and reads no clock. A Queue is not safe for concurrent use.
package admission
