// Package tool implements the commands of bluebellhold, the operators' tool.
//
// Commands that change the configuration create a release note with a random id and send it to the first instance that
// responds. If a response is lost, the same note is sent again, to the next instance if there is one: an instance
// returns the epoch of an id that was accepted before, so a note never takes effect twice.
package tool
