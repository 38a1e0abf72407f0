// Package store defines the services that the platform provides to instances: a transactional table, an object
// store and a lagging list of instances.
//
// Memory implements all of them in one process for tests and examples. Client speaks to the platform over HTTP.
package store
