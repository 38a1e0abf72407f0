// Package strict decodes JSON into Go values and reports every invalid field with its path.
//
// Unlike encoding/json, it rejects unknown, duplicate and missing fields, null, and names in another case, and it
// continues after an error so that all errors of a document are reported together. DecodeKnown keeps unknown fields apart,
// for documents that another release may have written.
package strict
