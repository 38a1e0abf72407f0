// Package settings reads and checks the daemon's settings.
//
// The settings are one JSON object. Every field is checked, and all invalid fields are reported together, each with its
// path, its value and the allowed values. File paths are relative to the directory of the settings file.
//
//	name        name of the instance, unique in the fleet
//	region      region of the instance
//	datacentre  data centre of the instance
//	caller      listen address for callers, IP address and port
//	peer        listen address for the other instances
//	operator    listen address for operators
//	platform    URL of the platform, with an IP address as its host
//	secret      file with the secret that all instances share, at least 16 bytes
//	token       file with the operators' token, at least 16 bytes
//	tls         optional: caller {cert, key}, operator {cert, key}, peer {cert, key, ca}; default: no TLS
//	log         optional: debug, info, warn or error; default: info
//	limits      optional: body, the maximum size in bytes of the body of a non-idempotent request, which is held in
//	            memory (default 1048576); memory, the maximum size of all bodies and responses in memory (default 268435456);
//	            header, the maximum size of a request header in bytes (default 65536); queue,
//	            the maximum number of queued requests of one class of a service (default 1024)
//	testing     optional: enables the hooks for fault injection and addresses with port 0; default: false
//
// With --entry the file contains an Entry, whose fields are described in docs/OPERATIONS.md.
package settings
