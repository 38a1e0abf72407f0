// Package testseed gives property-based tests a fixed seed, so that test runs are reproducible.
package testseed
