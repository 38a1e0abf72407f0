// Package balance chooses the upstream for each request of one service at one instance.
//
// A Chooser uses the power of two choices: it draws two upstreams of the preferred region and takes the one with the
// lower load per slot. The load is the number of requests that the instance itself runs there plus the requests of other
// instances according to load reports, whose influence decays with their age. Outcomes that the instance observes itself
// outweigh reports: an upstream that sheds or fails requests is drawn less often and has a higher cost, and one with a
// failed connection or consecutive failures is ejected with exponential backoff. At most a third of the upstreams are
// ejected at once. When more than half are unhealthy, health is ignored (panic mode), because the cause is then more
// likely elsewhere. A draining upstream gets no new requests.
//
// The package does no I/O and has no clock; randomness comes from the seed. A Chooser is not safe for concurrent use.
// Choose costs O(1) and does not allocate.
package balance
