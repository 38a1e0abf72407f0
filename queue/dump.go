package queue

import (
	"sort"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

// Dump is a snapshot of a Queue for operators.
type Dump struct {
	Slots         id.Slots           `json:"slots"`
	Classes       []ClassDump        `json:"classes"`
	Organisations []OrganisationDump `json:"organisations"`
}

// ClassDump is a snapshot of one class; MeanServiceTime is a moving average.
type ClassDump struct {
	Class           note.Class    `json:"class"`
	Waiting         int           `json:"waiting"`
	InFlight        int           `json:"running"`
	MeanServiceTime time.Duration `json:"took"`
}

// OrganisationDump has the numbers of items of one organisation that wait and that are in flight.
type OrganisationDump struct {
	Organisation id.Organisation `json:"organisation"`
	Waiting      int             `json:"waiting"`
	InFlight     int             `json:"running"`
}

// Dump returns a snapshot with the organisations sorted by name.
func (q *Queue) Dump() Dump {
	d := Dump{Slots: id.Slots(q.slots)}
	for i := range q.classes {
		c := &q.classes[i]
		d.Classes = append(d.Classes,
			ClassDump{Class: c.name, Waiting: c.waiting, InFlight: c.inFlight, MeanServiceTime: c.meanServiceTime})
	}
	for _, o := range q.organisations {
		d.Organisations = append(d.Organisations,
			OrganisationDump{Organisation: o.id, Waiting: o.waiting, InFlight: o.inFlight})
	}
	sort.Slice(d.Organisations, func(i, j int) bool {
		return d.Organisations[i].Organisation < d.Organisations[j].Organisation
	})
	return d
}
