package settings

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellhold/features"
	"bluebellhold/id"
	"bluebellhold/internal/strict"
	"bluebellhold/note"
)

// The minimum and maximum of Entry.MemoryMiB.
const (
	minMemoryMiB = 32
	maxMemoryMiB = 1 << 20
)

// The minimum and maximum of descriptors that are set.
const (
	minDescriptors = 128
	maxDescriptors = 1 << 24
)

// maxLinkMbps is the maximum of Entry.LinkMbps.
const maxLinkMbps = 1e6

// Entry contains the settings of an instance that reads its configuration from the platform's store.
type Entry struct {
	Name       id.Instance   `json:"name"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	// RegionByDataCentre contains the region of each data centre.
	RegionByDataCentre map[id.DataCentre]id.Region `json:"regions"`
	CallerAddress      string                      `json:"callers"`
	ReadinessAddress   string                      `json:"ready"`
	LookupAddress      string                      `json:"lookup"`
	MetricsAddress     string                      `json:"metrics"`
	// PeerAddress accepts sessions of other instances.
	PeerAddress  string `json:"peers"`
	StoreAddress string `json:"store"`
	// LinkMbps is the bandwidth in Mbit/s of the link that callers, upstreams and other instances share; zero means
	// unknown. The instances with the fastest links coordinate the others.
	LinkMbps float64 `json:"link,omitempty"`
	// MemoryMiB is the memory in MiB that the process may use.
	MemoryMiB int64 `json:"memory"`
	// Descriptors is the number of descriptors that the process may open; zero means the limit of the process.
	Descriptors int64  `json:"descriptors,omitempty"`
	Bounds      Bounds `json:"bounds"`
	// Features names the optional parts to switch on; see package features.
	Features []string `json:"features,omitempty"`
	// Terms are the platform's terms for the deployment, which may call for optional parts; unknown ones are ignored.
	Terms    []string `json:"terms,omitempty"`
	LogLevel string   `json:"log,omitempty"`

	// PassedOver are the fields and features that this release does not know.
	PassedOver []*note.FieldError `json:"-"`
}

// Bounds are the operator's guarantees to callers and upstreams, each summed over all instances.
type Bounds struct {
	RetryBudget   RetryBudget   `json:"retries"`
	RateTolerance RateTolerance `json:"rates"`
	ColdTolerance ColdTolerance `json:"cold"`
	// MaxDrainDelay is the time within which requests to a draining upstream must stop.
	MaxDrainDelay Duration `json:"drain"`
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod Duration `json:"grace"`
	// LookupTTL is the maximum time for which a caller may cache a look-up response.
	LookupTTL Duration `json:"ttl"`
}

// RetryBudget limits the retries within Window to the fraction Ratio of the requests plus Extra retries.
type RetryBudget struct {
	Ratio  float64  `json:"ratio"`
	Extra  float64  `json:"extra"`
	Window Duration `json:"window"`
}

// RateTolerance is how the organisations' rate limits are checked: within Window, the requests may exceed a limit by
// the fraction Excess plus Slack requests.
type RateTolerance struct {
	Window Duration `json:"window"`
	Excess float64  `json:"excess"`
	Slack  float64  `json:"slack"`
}

// ColdTolerance limits the requests to a cold upstream to its cold rate times Factor plus Slack requests.
type ColdTolerance struct {
	Factor float64 `json:"excess"`
	Slack  float64 `json:"slack"`
}

// Duration is a time.Duration that is encoded as a text such as 2500ms or 6s.
type Duration time.Duration

// UnmarshalText parses a duration in the notation of package time.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Allowed describes the notation for reports of invalid fields.
func (d *Duration) Allowed() string { return "a duration such as 2500ms or 6s" }

// LoadEntry reads and checks the settings file of an instance that reads its configuration from the platform's store. It
// passes over what only another release knows.
//
// The error is a ReadError or an InvalidError.
func LoadEntry(path string) (Entry, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, &ReadError{File: path, Cause: err}
	}
	var c checker
	s := Entry{LogLevel: DefaultLogLevel}
	strict.DecodeKnown(body, &s, c.Report, c.reportUnknown)
	c.checkEntry(&s)
	s.PassedOver = fieldErrors(c.unknown.Problems())
	return s, c.invalidError(path)
}

// CheckEntry is LoadEntry for a file that belongs to this release: what LoadEntry passes over is invalid.
func CheckEntry(path string) error {
	s, err := LoadEntry(path)
	return withPassedOver(path, err, s.PassedOver)
}

func (c *checker) checkEntry(s *Entry) {
	c.checkNames(map[string]string{
		"name": string(s.Name), "region": string(s.Region), "datacentre": string(s.DataCentre),
	})
	for _, a := range []struct{ path, address string }{
		{"callers", s.CallerAddress},
		{"ready", s.ReadinessAddress},
		{"lookup", s.LookupAddress},
		{"metrics", s.MetricsAddress},
		{"peers", s.PeerAddress},
		{"store", s.StoreAddress},
	} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			c.Report(a.path, strconv.Quote(a.address), "an IP number and a port, such as 10.1.2.3:8080")
		}
	}
	if !(s.LinkMbps >= 0 && s.LinkMbps <= maxLinkMbps) {
		c.Report("link", strconv.FormatFloat(s.LinkMbps, 'g', -1, 64), "a number from 0 to 1000000")
	}
	c.checkRange("memory", s.MemoryMiB, minMemoryMiB, maxMemoryMiB)
	c.checkDescriptors("descriptors", s.Descriptors)
	if region := s.RegionByDataCentre[s.DataCentre]; region != s.Region {
		c.Report("regions", strconv.Quote(string(region))+" for "+string(s.DataCentre), "the region "+string(s.Region))
	}
	c.checkBounds(s.Bounds)
	c.checkFeatures(s.Features)
	c.checkLogLevel(s.LogLevel)
}

func (c *checker) checkDescriptors(path string, n int64) {
	if n != 0 {
		c.checkRange(path, n, minDescriptors, maxDescriptors)
	}
}

// checkBounds rejects values that would cause a division by zero or disable a limit, such as those of a missing field.
func (c *checker) checkBounds(b Bounds) {
	for path, d := range map[string]Duration{
		"bounds.retries.window": b.RetryBudget.Window, "bounds.rates.window": b.RateTolerance.Window,
		"bounds.drain": b.MaxDrainDelay, "bounds.grace": b.GracePeriod, "bounds.ttl": b.LookupTTL,
	} {
		if d <= 0 {
			c.Report(path, time.Duration(d).String(), "a duration above zero")
		}
	}
	for path, n := range map[string]float64{
		"bounds.retries.ratio": b.RetryBudget.Ratio, "bounds.retries.extra": b.RetryBudget.Extra,
		"bounds.rates.slack": b.RateTolerance.Slack, "bounds.rates.excess": b.RateTolerance.Excess,
		"bounds.cold.excess": b.ColdTolerance.Factor, "bounds.cold.slack": b.ColdTolerance.Slack,
	} {
		if n < 0 {
			c.Report(path, strconv.FormatFloat(n, 'g', -1, 64), "a number of at least 0")
		}
	}
}

func (c *checker) checkFeatures(names []string) {
	_, unknown := features.Parse(names)
	for _, name := range unknown {
		c.unknown.Report("features", strconv.Quote(name), "some of "+strings.Join(features.Names(), ", "))
	}
}

func (c *checker) checkLogLevel(level string) {
	if !slices.Contains(logLevels, level) {
		c.Report("log", strconv.Quote(level), "one of "+strings.Join(logLevels, ", "))
	}
}

// checkNames checks the names of the instance, its region and its data centre.
func (c *checker) checkNames(nameByPath map[string]string) {
	for path, name := range nameByPath {
		if !note.ValidName(name) {
			c.Report(path, strconv.Quote(name), note.NameRule)
		}
	}
}

// invalidError returns an InvalidError if a check reported a problem, and otherwise nil.
func (c *checker) invalidError(path string) error {
	problems := c.Problems()
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{File: path, Fields: fieldErrors(problems)}
}
