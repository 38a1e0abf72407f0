package placement

import (
	"time"

	"bluebellhold/id"
)

const (
	// workWeight is the weight of a new sample of work, so that about ten samples carry the average.
	workWeight = 0.1
	// warmPrior is the part of the expected cold work that a warm request is assumed to need before any sample.
	warmPrior = 0.4
)

// class holds the measured work of one route at this service.
type class struct {
	// cold is the work of requests whose object the upstream was not expected to know, repeat of those it was.
	cold, repeat, home time.Duration
	// size is the average size of an answer.
	size float64
	// counts holds the number of answers by familiarity.
	counts [repeated + 1]uint64
}

func newClass(expected time.Duration) *class {
	warm := time.Duration(float64(expected) * warmPrior)
	return &class{cold: expected, repeat: warm, home: (warm + expected) / 2}
}

// familiarity says what an instance expects of an upstream and an object.
type familiarity int

const (
	stranger familiarity = iota
	atHome
	repeated
)

func (c *class) learn(f familiarity, work time.Duration) {
	c.counts[f]++
	average := &c.cold
	switch f {
	case repeated:
		average = &c.repeat
	case atHome:
		average = &c.home
	}
	// The first samples count for more than the assumption before them.
	weight := max(workWeight, 1/float64(c.counts[f]))
	*average += time.Duration(weight * float64(work-*average))
}

func (c *class) learnSize(size id.Bytes) {
	c.size += workWeight * (float64(size) - c.size)
}
