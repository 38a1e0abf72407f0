package strict

import (
	"slices"
	"strings"
)

// Problem is one wrong field.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// Collector keeps the first problem of each field.
//
// A problem of an object hides later problems inside it, since they would only follow from the first one.
type Collector struct {
	problems []Problem
	reported map[string]bool
}

// Report adds a problem; it is a Report function for Decode.
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

// Problems returns the problems in the order of their paths, because checks walk maps.
func (c *Collector) Problems() []Problem {
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return c.problems
}
