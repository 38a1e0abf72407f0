// Package note defines the configuration of a fleet and the release notes that change it.
//
// A Configuration is a value: Apply returns a new one and never changes its argument. Compile builds the immutable
// indexes that instances use to decide each request.
package note
