package store

import (
	"strconv"
	"strings"

	"bluebellhold/id"
)

// checkResult rejects a response whose rows do not match the transaction's writes or conditions one to one, because
// callers index the rows by them.
func checkResult(t Transaction, result Result) error {
	var names []string
	if result.Committed {
		for _, w := range t.Writes {
			names = append(names, w.Name)
		}
		return checkRowNames(names, result.Rows)
	}
	for _, c := range t.Conditions {
		names = append(names, c.Name)
	}
	return checkRowNames(names, result.Rows)
}

func checkRowNames(names []string, rows []Row) error {
	if len(rows) != len(names) {
		return &InvalidResponseError{Reason: strconv.Itoa(len(rows)) + " rows for " + strconv.Itoa(len(names)) + " names"}
	}
	for i, r := range rows {
		if r.Name != names[i] {
			return &InvalidResponseError{Reason: "row " + r.Name + " in place of " + names[i]}
		}
	}
	return nil
}

func checkScan(prefix, after string, limit int, rows []Row) error {
	if len(rows) > max(limit, 0) {
		return &InvalidResponseError{Reason: "more rows than asked for"}
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.Name, prefix) || r.Name <= after {
			return &InvalidResponseError{Reason: "row " + r.Name + " out of place"}
		}
		after = r.Name
	}
	return nil
}

// InvalidResponseError reports a response whose rows do not match the request.
type InvalidResponseError struct {
	Reason string
}

// Error returns a message with the mismatch.
func (e *InvalidResponseError) Error() string {
	return "store: answer does not fit the call: " + e.Reason
}

// StatusError reports an HTTP response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns a message with the status and the first bytes of the body.
func (e *StatusError) Error() string {
	const maxQuotedBytes = 200
	return "store: status " + strconv.Itoa(e.Status) + ": " + strings.TrimSpace(e.Body[:min(len(e.Body), maxQuotedBytes)])
}

// ResponseTooLargeError reports a response whose body exceeds the limit.
type ResponseTooLargeError struct {
	Limit id.Bytes
}

// Error returns a message with the limit.
func (e *ResponseTooLargeError) Error() string {
	return "store: answer is larger than " + strconv.FormatInt(int64(e.Limit), 10) + " bytes"
}
