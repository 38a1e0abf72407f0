// Package policy holds simulations that compare a scheduler built on the packages queue and balance with a naive
// scheduler over the same arrivals.
package policy
