// Package tool implements the commands of bluebellhold, the operators' tool.
//
// Writing commands make a release note with a random id and send it to the first instance that answers. If an answer
// is lost, the same note is sent again, to the next instance if there is one: an instance that finds the id accepted
// returns its epoch, so a note is never carried out twice.
package tool
