// Package settings reads the daemon's settings.
//
// The settings are one JSON object. Every field is checked, and all wrong fields are reported together with path,
// value and what is allowed. Paths of files are relative to the folder of the settings file.
//
//	name        name of the instance, unique in the fleet
//	region      region of the instance
//	datacentre  data centre of the instance
//	caller      address for callers, IP number and port
//	peer        address for the other instances
//	operator    address for operators
//	platform    URL of the platform, with an IP number as its host
//	secret      file with the secret that all instances share, at least 16 bytes
//	token       file with the operators' token, at least 16 bytes
//	tls         optional: caller {cert, key}, operator {cert, key}, peer {cert, key, ca}; default: no TLS
//	log         optional: debug, info, warn or error; default: info
//	limits      optional: body, the largest body in bytes that is buffered (default 1048576); header, the largest
//	            request header in bytes (default 65536); queue, the requests that may wait (default 1024)
//	testing     optional: enables the hooks for fault injection and addresses with port 0; default: false
//
// With --entry the file holds Entry, whose fields docs/OPERATIONS.md explains.
package settings
