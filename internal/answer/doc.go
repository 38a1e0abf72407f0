// Package answer tells the answers of upstreams from bytes that are none.
package answer
