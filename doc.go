// Package bluebellhold runs one instance of a global traffic steering system.
//
// An instance receives the requests of callers, selects an upstream for each of them and, together with the other
// instances of its fleet, enforces the limits of organisations, regions, links and traffic shifts. The daemon
// bluebellholdd is a thin main around this package; other programs can embed an instance in the same way.
//
// Package internal/steering is the reducer: it takes events and returns the effects that the instance executes. It is
// built on the packages allotment, balance, claim, fleet, lookup, note, queue and retry, which decide without any I/O.
// Package store defines the access to the table, the object store and the list of instances, and platform translates
// the platform's own formats.
package bluebellhold
