// Package peer maintains one authenticated session with each other instance and exchanges messages over it.
//
// A session is a TCP connection between IP addresses, optionally with mutual TLS. Both sides authenticate each other
// with a shared secret before yamux multiplexes streams over the connection. One stream carries all messages except
// EpochReply, whose body may be large; each EpochReply has its own stream, so that it does not delay heartbeats.
// Messages are protobuf envelopes with a length prefix.
//
// Delivery is at most once. Messages to an instance without a session are dropped, and so are the messages that are
// still queued when a session closes, unless another session with the same instance replaces it.
package peer
