// Package note defines the configuration of a fleet and the release notes that change it.
//
// A Configuration is a value: Apply returns a new one and never changes its argument. Compile builds the immutable
// indexes that instances use to decide each request.
//
// Parse reads a release note, Apply applies it to a Configuration, and Plan is a dry run that lists its changes and
// checks them against the measured load. Encode and Decode convert a Configuration to and from its stored form.
package note
