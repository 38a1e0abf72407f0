package retry

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxAfterSeconds keeps a time within what a duration can hold.
const maxAfterSeconds = 1e9

// ParseAfter parses the value of a Retry-After header in seconds, with or without a fraction, of at most 1e9 s. It returns
// zero if the value is missing, malformed or a date.
func ParseAfter(text string) time.Duration {
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	// A number that is out of range is +Inf.
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(min(seconds, maxAfterSeconds) * float64(time.Second))
}
