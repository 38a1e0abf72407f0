package strict

import (
	"slices"
	"strings"
)

// Problem describes an invalid field: its path, the value found and the values allowed.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// Collector collects the first problem of each field.
//
// After a problem of an object or a list, it suppresses later problems inside that value, since they would only follow
// from the first one.
type Collector struct {
	problems []Problem
	reported map[string]bool
}

// Report adds a problem; the method value is a ReportFunc for Decode.
func (c *Collector) Report(path, value, allowed string) {
	if c.suppressed(path) {
		return
	}
	if c.reported == nil {
		c.reported = make(map[string]bool)
	}
	c.reported[path] = true
	c.problems = append(c.problems, Problem{Path: path, Value: value, Allowed: allowed})
}

// suppressed reports whether a problem of path or of a value that contains it was reported before.
func (c *Collector) suppressed(path string) bool {
	if c.reported[""] {
		return true
	}
	for i := range len(path) {
		if path[i] == '.' && c.reported[path[:i]] {
			return true
		}
	}
	return c.reported[path]
}

// Problems returns the problems sorted by path, because checks report them in the random order of map iteration.
func (c *Collector) Problems() []Problem {
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return c.problems
}
