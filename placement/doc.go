// Package placement chooses the upstream for a request that concerns an object.
//
// The load can exceed the capacity if every request finds a cold cache. An upstream that has the object in its cache
// needs a fraction of the processing time, so each object has a home in its callers' region: the upstream that weighted
// rendezvous hashing ranks first. All instances of the region agree on it without messages, and a change of the
// upstreams moves only the objects of those that changed. A Chooser estimates the latency at each candidate from the
// round trip, the load, the slowdown and the processing time with a warm or cold cache, and takes the candidate with
// the lowest cost.
//
// The package does no I/O and reads no clock. A Chooser is not safe for concurrent use.
package placement
