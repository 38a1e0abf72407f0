// Package steering holds the one reducer that takes every decision of an entry instance.
//
// State.Reduce takes an event and returns effects as data. It has no goroutine, clock, socket or log: time comes with
// each call, randomness from a seed in the state, and the instance around it carries out the effects and posts their
// results as further events. The same events at the same times therefore lead to the same decisions.
//
// A request passes these steps: arrival (route, key, freshness, suspects), a token of its organisation's rate, the
// claim if its route is not idempotent, the fair queue, and the dispatch to an upstream, where it holds one slot of
// the region's capacity until its attempt ends.
package steering
