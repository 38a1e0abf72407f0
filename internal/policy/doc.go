// Package policy holds simulations that compare queue and balance together with a naive scheduler over the same
// arrivals.
package policy
