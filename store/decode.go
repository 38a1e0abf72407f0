package store

import (
	"encoding/json"
	"net/netip"
	"strings"

	"bluebellhold/id"
)

// unreadableValue stands for the value of a row that can't be decoded: an absent value would look like an empty row. It is no
// JSON, so that no reader accepts it.
var unreadableValue = []byte{0xff}

// UnmarshalJSON decodes a row. A value that can't be decoded makes no error, so that the other rows of a response hold; it is
// replaced by bytes that are no JSON.
func (r *Row) UnmarshalJSON(body []byte) error {
	var row struct {
		Name    string          `json:"name"`
		Version uint64          `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(body, &row); err != nil {
		return err
	}
	*r = Row{Name: row.Name, Version: row.Version}
	if len(row.Value) > 0 && json.Unmarshal(row.Value, &r.Value) != nil {
		r.Value = unreadableValue
	}
	return nil
}

// decodeMember decodes an entry of the directory. The name is returned with an error, too, if it can be read.
func decodeMember(entry []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(entry, &m); err != nil {
		return m, err
	}
	if m.Instance == "" {
		return m, &InvalidResponseError{Reason: "an entry without a name"}
	}
	for _, address := range []string{m.Caller, m.Peer} {
		if parsed, err := netip.ParseAddrPort(address); address != "" && (err != nil || parsed.Port() == 0) {
			return m, &InvalidResponseError{Reason: "address " + address}
		}
	}
	return m, nil
}

// maxShownEntryBytes bounds what an EntryError shows of a name and of a cause.
const maxShownEntryBytes = 120

// EntryError reports an entry of the directory that can't be used.
type EntryError struct {
	// Instance is empty if the name can't be read.
	Instance id.Instance
	Cause    error
}

// Error names the instance and the cause, both shortened.
func (e *EntryError) Error() string {
	return "store: entry " + shortened(string(e.Instance)) + " of the directory can't be used: " + shortened(e.Cause.Error())
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

func shortened(text string) string {
	if len(text) <= maxShownEntryBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownEntryBytes], "") + "..."
}
