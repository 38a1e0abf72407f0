package placement

import (
	"time"

	"bluebellhold/id"
)

// ClassDump is the measured work of one route.
type ClassDump struct {
	Cold   time.Duration `json:"cold"`
	Home   time.Duration `json:"home"`
	Repeat time.Duration `json:"repeat"`
	// Strangers, Homes and Repeats count the answers of each kind.
	Strangers uint64 `json:"strangers"`
	Homes     uint64 `json:"homes"`
	Repeats   uint64 `json:"repeats"`
}

// Classes returns the measured work of each route.
func (c *Chooser) Classes() map[id.Route]ClassDump {
	out := make(map[id.Route]ClassDump, len(c.classes))
	for name, cl := range c.classes {
		out[name] = ClassDump{
			Cold: cl.cold, Home: cl.home, Repeat: cl.repeat,
			Strangers: cl.counts[stranger], Homes: cl.counts[atHome], Repeats: cl.counts[repeated],
		}
	}
	return out
}
