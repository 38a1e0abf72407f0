// Package steering is the deterministic reducer that makes every decision of an instance.
//
// State.Reduce takes an event and returns effects as data. It has no goroutine, clock, socket or log: the time is an
// argument of each call, randomness comes from a seed in the state, and the instance executes the effects and posts
// their results as further events. The same events at the same times therefore lead to the same decisions.
//
// A request passes these steps: arrival (route, API key, freshness of the configuration, suspects), a token of its
// organisation's rate limit, the claim if its route is not idempotent, the fair queue, and the dispatch to an upstream,
// where it occupies one slot of the region's concurrency limit until its attempt ends.
package steering
