// Package id defines the named types for identifiers and units that all other packages share.
package id
