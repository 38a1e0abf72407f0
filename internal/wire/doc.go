// Package wire defines the protobuf messages that instances exchange; its code is generated from peer.proto.
//
// The go generate command needs protoc and protoc-gen-go in PATH; go.mod pins the version of protoc-gen-go.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
