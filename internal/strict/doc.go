// Package strict decodes JSON into Go values and reports every wrong field with its path.
//
// Unlike encoding/json it refuses unknown, repeated and missing fields, null, and names in another case, and it
// continues after an error so that all errors of a document are reported together.
package strict
