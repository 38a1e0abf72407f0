package answer

import "net/http"

// The statuses of answers and of interim responses.
const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxFinalStatus   = 599
)

// IsFinalStatus reports whether a status is that of an answer.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// IsFinal reports whether a response is an answer. What follows on the connection of one that is not, and is not interim either,
// belongs to nothing.
func IsFinal(r *http.Response) bool { return r.ProtoMajor == 1 && IsFinalStatus(r.StatusCode) }

// IsInterim reports whether a response is one before the answer.
func IsInterim(r *http.Response) bool {
	return r.ProtoMajor == 1 && len(r.TransferEncoding) == 0 && IsInterimHead(r.StatusCode, r.Header)
}

// IsInterimHead reports whether a status and the fields behind it are those of a response before the answer, which has no body and
// does not switch protocols.
func IsInterimHead(status int, header http.Header) bool {
	length := header.Get("Content-Length")
	return status >= minInterimStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols &&
		(length == "" || length == "0")
}
