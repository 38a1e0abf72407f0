// Package wire defines the messages between instances; its code is generated from peer.proto.
//
// The generator needs protoc and protoc-gen-go on the path; go.mod fixes the version of protoc-gen-go.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
