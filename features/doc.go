// Package features names the optional parts of the product, which an operator's settings or configuration switch on.
package features
