// Package drain closes the callers' connections of an HTTP server during a planned stop, and none on which a request has
// arrived.
//
// The states of net/http do not tell which connections these are: a connection is reported as active only after the whole
// head of a request has been read, and one that has carried no request never becomes idle. http.Server.Shutdown relies on
// them, and may close a connection whose request is then handled all the same.
package drain
