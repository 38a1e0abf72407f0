// Package fleet merges the platform's lagging list of instances, heartbeats and farewells into one view of the fleet.
//
// A View performs no I/O and reads no clock: the caller feeds it events with their time, and it returns the changes of
// status as data.
//
// A heartbeat is stronger evidence than the list, because the list lags and may be wrong: an instance that is heard
// stays, listed or not. The list decides only about instances that are silent.
package fleet
