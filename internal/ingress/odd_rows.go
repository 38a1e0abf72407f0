package ingress

import (
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/placement"
)

const (
	// maxOddRows bounds the rows of one table that are remembered as unreadable.
	maxOddRows = 256
	// maxShownErrorBytes bounds what is logged of an error about a row, and of the row's name.
	maxShownErrorBytes = 256
)

// oddRows are the rows of one table that can't be read. Each is logged once until it can be read or is gone. It is not safe
// for concurrent use.
type oddRows struct {
	names map[string]bool
}

func newOddRows() oddRows { return oddRows{names: make(map[string]bool)} }

// report logs a row that can't be read.
func (o *oddRows) report(l *log.Logger, level log.Level, message, row string, err error) {
	if o.names[row] || len(o.names) >= maxOddRows {
		return
	}
	o.names[row] = true
	l.Log(level, message, "row", shorten(row), "error", shorten(err.Error()))
}

// forget forgets a row that can be read again or is gone.
func (o *oddRows) forget(row string) { delete(o.names, row) }

func shorten(text string) string {
	if len(text) <= maxShownErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownErrorBytes], "") + "..."
}

// isAddress reports whether a text is an IP address and a port at which an instance can listen.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// isSlots reports whether x is an amount of load that an instance may offer, which excludes NaN.
func isSlots(x float64) bool { return x >= 0 && x <= maxOfferedSlots }

// possibleLoads returns the loads that make sense.
func possibleLoads(loads map[id.Service]float64) map[id.Service]float64 {
	for name, slots := range loads {
		if !isSlots(slots) {
			delete(loads, name)
		}
	}
	return loads
}

// possiblePinnedLoads returns the loads that make sense.
func possiblePinnedLoads(loads map[id.Service]map[id.Region]float64) map[id.Service]map[id.Region]float64 {
	for _, byRegion := range loads {
		for region, slots := range byRegion {
			if !isSlots(slots) {
				delete(byRegion, region)
			}
		}
	}
	return loads
}

// possibleShares returns the fractions that make sense.
func possibleShares(shares map[id.Service]float64) map[id.Service]float64 {
	for name, share := range shares {
		if !isFraction(share) {
			delete(shares, name)
		}
	}
	return shares
}

// possibleLimits returns the reports that make sense.
func possibleLimits(reports []limitReport) []placement.LimitReport {
	var limits []placement.LimitReport
	for _, l := range reports {
		r := placement.LimitReport{Upstream: l.Upstream, Incarnation: l.Incarnation, Limit: l.Rate, Age: ageOf(l.AgeMillis)}
		if r.IsValid() {
			limits = append(limits, r)
		}
	}
	return limits
}

// maxReportedAgeMillis bounds the ages in heartbeats; older news is of no interest.
const maxReportedAgeMillis = 24 * 60 * 60 * 1000

// ageOf returns an age from a heartbeat, and a negative one for an age that makes no sense, which all reports exclude.
func ageOf(millis int64) time.Duration {
	if millis < 0 || millis > maxReportedAgeMillis {
		return -1
	}
	return time.Duration(millis) * time.Millisecond
}

const (
	// maxGroupSize is above the largest fleet, and maxDemand above the requests per second of any organisation.
	maxGroupSize = 100_000
	maxDemand    = 1e9
	// maxPublishedShare is a whole limit and the rounding of shares.
	maxPublishedShare = 1.01
)

// check returns an error if the row holds a number that no group has.
func (r groupRow) check() error {
	if r.Size < 0 || r.Size > maxGroupSize {
		return &RowValueError{Field: "size"}
	}
	for _, demand := range r.Demand {
		if !(demand >= 0 && demand <= maxDemand) {
			return &RowValueError{Field: "demand"}
		}
	}
	for _, share := range r.Shares {
		if !(share >= 0 && share <= maxPublishedShare) {
			return &RowValueError{Field: "held"}
		}
	}
	return nil
}

// RowValueError reports a field of a row that holds a value out of its range.
type RowValueError struct {
	Field string
}

// Error names the field.
func (e *RowValueError) Error() string { return "ingress: value out of range in field " + e.Field }
