// Package note defines the configuration of a fleet and the release notes that change it.
//
// A Configuration is a value: Apply returns a new one and never changes its argument. Compile builds the immutable
// indexes that instances use to decide each request.
//
// Parse reads a release note, Apply carries it out on a Configuration and Plan lists its changes and judges them
// against measured load. Encode and Decode give a Configuration its stored form.
package note
