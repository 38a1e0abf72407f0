// Package queue holds the requests of one service that wait at one instance for a free slot.
//
// Organisations share the slots by start-time fair queueing, separately in each class: an organisation is charged the
// cost of each served item, and the one with the lowest charge is served next. Within an organisation, items are served
// by earliest deadline first. Between the classes, small requests have priority. While the small class is active, bulk
// requests occupy at most a third of the slots and leave free as many as small requests use on average. Bulk is always
// guaranteed an eighth of the slot time.
//
// The package does no I/O and has no clock: the instance passes the time, calls Next whenever a slot may be free and
// reports when an item is done. An item that Next has returned is in flight until then. A Queue is not safe for
// concurrent use. An operation costs O(log n) in the number of waiting items; no state is kept for organisations without
// items that wait, are in flight or were served recently.
package queue
