// Package memory counts the memory that the bodies of requests and responses take, before they are read or made, and reads
// them into memory that is used again. It also counts what package occupancy says that clients' connections and heads take.
package memory
