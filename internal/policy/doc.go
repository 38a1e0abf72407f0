// Package policy holds the tests that run queue and balance together against a naive policy over the same arrivals.
package policy
