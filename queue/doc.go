// Package queue holds the requests of one service that wait at one instance for a free slot.
//
// Organisations share the slots by start-time fair queueing: each is charged the cost of what it was served, and the
// one with the lowest charge is next. Within an organisation the earliest deadline is first. Fairness holds within
// each class. Between the classes, small requests come first. While there is demand for them, bulk requests hold at
// most a third of the slots and leave as many free as small requests use on average, but bulk always gets an eighth of
// the slot time.
//
// The package does no I/O and has no clock: the caller passes the time, asks for the next item whenever a slot may be
// free and reports when an item is done. A Queue is not safe for concurrent use. An operation costs O(log n) in the
// number of waiting items; organisations without waiting, running or recently served items cost nothing.
package queue
