package settings

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/strict"
	"bluebellhold/note"
)

// The smallest and largest memory in MiB that a process can be given.
const (
	leastMemory = 32
	mostMemory  = 1 << 20
)

// Entry are the settings of an instance that follows the platform's store.
type Entry struct {
	Name       id.Instance   `json:"name"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	// Regions maps each data centre to its region.
	Regions map[id.DataCentre]id.Region `json:"regions"`
	Callers string                      `json:"callers"`
	Ready   string                      `json:"ready"`
	Lookup  string                      `json:"lookup"`
	Metrics string                      `json:"metrics"`
	Store   string                      `json:"store"`
	// Memory is what the process may use, in MiB.
	Memory int64  `json:"memory"`
	Bounds Bounds `json:"bounds"`
	Log    string `json:"log,omitempty"`
}

// Bounds are the operator's promises to callers and upstreams, each summed over all instances.
type Bounds struct {
	Retries Retries `json:"retries"`
	Rates   Rates   `json:"rates"`
	Cold    Excess  `json:"cold"`
	// Drain is the time within which a leaving upstream must get no more requests.
	Drain Duration `json:"drain"`
	// Grace is the time between the signal to stop and the end of the process.
	Grace Duration `json:"grace"`
	// TTL is the longest time that a look-up's answer may be kept.
	TTL Duration `json:"ttl"`
}

// Retries bounds second sends per window to a part of the requests and a number besides.
type Retries struct {
	Ratio  float64  `json:"ratio"`
	Extra  float64  `json:"extra"`
	Window Duration `json:"window"`
}

// Rates says how the organisations' limits are judged: the window, and the part and the number of requests beyond them that
// are tolerated.
type Rates struct {
	Window Duration `json:"window"`
	Excess float64  `json:"excess"`
	Slack  float64  `json:"slack"`
}

// Excess is what is tolerated beyond a rate: a factor and a number.
type Excess struct {
	Excess float64 `json:"excess"`
	Slack  float64 `json:"slack"`
}

// Duration is a time as a text such as 2500ms or 6s.
type Duration time.Duration

// UnmarshalText decodes a duration in the notation of package time.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Allowed describes the notation.
func (d *Duration) Allowed() string { return "a duration such as 2500ms or 6s" }

// LoadEntry reads and checks the settings file of an instance that follows the platform's store.
//
// The error is a ReadError or an InvalidError.
func LoadEntry(path string) (Entry, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, &ReadError{File: path, Cause: err}
	}
	var c checker
	s := Entry{Log: DefaultLog}
	strict.Decode(body, &s, c.Report)
	c.entry(&s)
	return s, c.invalid(path)
}

func (c *checker) entry(s *Entry) {
	c.names(map[string]string{
		"name": string(s.Name), "region": string(s.Region), "datacentre": string(s.DataCentre),
	})
	for _, a := range []struct{ path, address string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"lookup", s.Lookup}, {"metrics", s.Metrics}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			c.Report(a.path, strconv.Quote(a.address), "an IP number and a port, such as 10.1.2.3:8080")
		}
	}
	c.between("memory", s.Memory, leastMemory, mostMemory)
	if region := s.Regions[s.DataCentre]; region != s.Region {
		c.Report("regions", strconv.Quote(string(region))+" for "+string(s.DataCentre), "the region "+string(s.Region))
	}
	c.bounds(s.Bounds)
	c.level(s.Log)
}

// bounds checks what would divide by zero or lift a limit when it is missing.
func (c *checker) bounds(b Bounds) {
	for path, d := range map[string]Duration{
		"bounds.retries.window": b.Retries.Window, "bounds.rates.window": b.Rates.Window, "bounds.drain": b.Drain, "bounds.grace": b.Grace,
		"bounds.ttl": b.TTL,
	} {
		if d <= 0 {
			c.Report(path, time.Duration(d).String(), "a duration above zero")
		}
	}
	for path, n := range map[string]float64{
		"bounds.retries.ratio": b.Retries.Ratio, "bounds.retries.extra": b.Retries.Extra,
		"bounds.rates.slack": b.Rates.Slack, "bounds.rates.excess": b.Rates.Excess,
		"bounds.cold.excess": b.Cold.Excess, "bounds.cold.slack": b.Cold.Slack,
	} {
		if n < 0 {
			c.Report(path, strconv.FormatFloat(n, 'g', -1, 64), "a number of at least 0")
		}
	}
}

func (c *checker) level(text string) {
	if !slices.Contains(levels, text) {
		c.Report("log", strconv.Quote(text), "one of "+strings.Join(levels, ", "))
	}
}

// names checks the texts that identify the instance and its place.
func (c *checker) names(texts map[string]string) {
	for path, name := range texts {
		if !note.ValidName(name) {
			c.Report(path, strconv.Quote(name), note.NameRule)
		}
	}
}

// invalid returns an InvalidError if there are problems.
func (c *checker) invalid(path string) error {
	problems := c.Problems()
	if len(problems) == 0 {
		return nil
	}
	invalid := &InvalidError{File: path}
	for _, p := range problems {
		invalid.Fields = append(invalid.Fields, &note.FieldError{Path: p.Path, Value: p.Value, Allowed: p.Allowed})
	}
	return invalid
}
