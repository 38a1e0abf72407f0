// Package store defines the services that the platform provides to instances: a transactional table, an object
// store and an eventually consistent directory of instances.
//
// Memory implements all of them in one process for tests and examples. Client calls the platform over HTTP, and
// NewHandler serves the same paths. A Mirror follows the ChangeFeed of a table that other processes write as well.
package store
