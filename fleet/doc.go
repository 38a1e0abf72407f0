// Package fleet derives the membership and status of the fleet's instances from the platform's list of instances,
// heartbeats and farewells.
//
// A View does no I/O and reads no clock: Reduce takes events with their time and returns the changes of status.
//
// Heartbeats take precedence over the list, because the list lags and may be wrong: an instance that sends heartbeats
// stays in the view, listed or not. The list decides only about instances whose heartbeats have timed out.
package fleet
