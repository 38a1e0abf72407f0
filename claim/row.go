package claim

import (
	"encoding/json"
	"net/url"
	"time"

	"bluebellhold/id"
)

const (
	rowPrefix    = "claim/"
	objectPrefix = "answer/"
)

const (
	stateClaimed = "claimed"
	stateDone    = "done"
)

// record is the value of a row, encoded as JSON.
type record struct {
	State    string    `json:"state"`
	Digest   id.Digest `json:"digest"`
	Claimant string    `json:"claimant"`
	// Deadline is the dispatch deadline and Expiry the end of the row's lifetime, both in milliseconds since 1970.
	Deadline  int64               `json:"deadline"`
	Expiry    int64               `json:"expiry"`
	Status    int                 `json:"status,omitempty"`
	Header    map[string][]string `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	Truncated bool                `json:"truncated,omitempty"`
	// Object names the object that holds the body, and Sum is the body's digest.
	Object string    `json:"object,omitempty"`
	Sum    id.Digest `json:"sum,omitzero"`
}

// rowName returns the name of the row for an idempotency key. It includes the service, because routes are path prefixes
// that two services may share.
func rowName(e Requested) string {
	return rowPrefix + url.PathEscape(string(e.Organisation)) + "/" + url.PathEscape(string(e.Service)) + "/" +
		url.PathEscape(string(e.Route)) + "/" + id.DigestOf([]byte(e.Key)).String()
}

// objectName returns the name of the object for a response's body. It depends on the claimant id alone, so that the
// object of a failed holder can be derived from its row.
func objectName(claimant string) string {
	return objectPrefix + claimant
}

func (r record) encode() []byte {
	body, err := json.Marshal(r)
	if err != nil {
		// Strings, numbers and byte slices always marshal.
		panic("claim: " + err.Error())
	}
	return body
}

// decode parses a row. If value is not a record, it returns an invalid one, which is treated as a claim with an unknown
// outcome.
func decode(value []byte) record {
	var r record
	if json.Unmarshal(value, &r) != nil || (r.State != stateClaimed && r.State != stateDone) {
		return record{State: stateClaimed}
	}
	return r
}

func (r record) response() Response {
	return Response{Status: r.Status, Header: r.Header, Body: r.Body, Truncated: r.Truncated}
}

func (r record) valid() bool {
	return r.Claimant != ""
}

func (r record) expired(now time.Time) bool {
	return r.valid() && now.UnixMilli() > r.Expiry+clockSkewMargin.Milliseconds()
}
