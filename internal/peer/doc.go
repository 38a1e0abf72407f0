// Package peer keeps one authenticated session with each other instance and passes messages over it.
//
// A session is a TCP connection between IP addresses, optionally with mutual TLS, that both sides authenticate with a
// shared secret before yamux divides it into streams. One stream carries all messages except EpochReply, whose body
// may be large; each EpochReply has a stream of its own, so that it does not delay heartbeats. Messages are protobuf
// envelopes with a length prefix.
//
// Delivery is at most once: messages to an instance without a session are dropped, and so is what a session had not
// sent when it ended.
package peer
