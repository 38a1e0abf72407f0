package allotment

import (
	"encoding/json"
	"strings"
	"time"

	"bluebellhold/id"
)

const (
	sharePrefix = "share/"
	leasePrefix = "lease/"
)

// leaseRow is the value of the row lease/<instance>.
//
// The deadline is on the holder's clock and is informational. The serial identifies which of the holder's transactions
// wrote the row.
type leaseRow struct {
	Incarnation id.Incarnation `json:"incarnation"`
	Address     string         `json:"address"`
	Deadline    time.Time      `json:"deadline"`
	Witness     id.Instance    `json:"witness"`
	Serial      uint64         `json:"serial"`
}

type shareRow map[id.Instance]id.Parts

func shareRowName(limit id.Limit) string       { return sharePrefix + string(limit) }
func leaseRowName(instance id.Instance) string { return leasePrefix + string(instance) }

func limitFromRowName(rowName string) (id.Limit, bool) {
	name, ok := strings.CutPrefix(rowName, sharePrefix)
	return id.Limit(name), ok
}

func instanceFromRowName(rowName string) (id.Instance, bool) {
	name, ok := strings.CutPrefix(rowName, leasePrefix)
	return id.Instance(name), ok
}

// RowError reports a row whose value has an unexpected format. The ledger does not change such a row.
type RowError struct {
	Name string
	Err  error
}

// Error names the row and the cause.
func (e *RowError) Error() string {
	if e.Err == nil {
		return "allotment: row " + e.Name + " holds parts that are negative or sum to more than a whole"
	}
	return "allotment: row " + e.Name + " has an unexpected format: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error {
	return e.Err
}

func parseLease(name string, value []byte) (leaseRow, error) {
	var row leaseRow
	if err := json.Unmarshal(value, &row); err != nil {
		return leaseRow{}, &RowError{Name: name, Err: err}
	}
	return row, nil
}

func parseShare(name string, value []byte) (shareRow, error) {
	row := shareRow{}
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, &RowError{Name: name, Err: err}
	}
	var sum id.Parts
	for _, parts := range row {
		if parts < 0 || parts > id.WholeLimit {
			return nil, &RowError{Name: name}
		}
		sum += parts
	}
	if sum > id.WholeLimit {
		return nil, &RowError{Name: name}
	}
	return row, nil
}

// encodeRow returns the JSON of a row type of this package, all of which have an encoding.
func encodeRow(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic("allotment: row has no JSON encoding: " + err.Error())
	}
	return value
}
