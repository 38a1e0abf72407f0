// Package tcp holds the socket options of connections that must not hang when the network does.
package tcp
