// Package balance chooses the upstream for each request of one service at one instance.
//
// A Chooser draws two upstreams of the preferred region and takes the one with the lower load per slot. The load is
// the instance's own requests in flight plus what load reports say about others; a report counts less with age. Own
// outcomes outweigh reports: an upstream that sheds or fails is drawn less often and compares worse, one that dies or
// fails repeatedly is ejected with a growing back-off, at most a third of them at once. When more than half appear
// unhealthy, health is ignored, because then the cause is more likely elsewhere. A draining upstream gets nothing new.
//
// The package does no I/O and has no clock; randomness comes from the seed. A Chooser is not safe for concurrent use.
// Choose costs O(1) and does not allocate.
package balance
