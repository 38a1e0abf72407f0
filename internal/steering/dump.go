package steering

import (
	"slices"
	"time"

	"bluebellhold/balance"
	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/queue"
)

// Dump is the state of an instance for operators; it holds no secret and no digest of one.
type Dump struct {
	Instance      id.Instance             `json:"instance"`
	Incarnation   id.Incarnation          `json:"incarnation"`
	Epoch         id.Epoch                `json:"epoch"`
	Heard         id.Epoch                `json:"heard"`
	Fresh         bool                    `json:"fresh"`
	Evidence      time.Time               `json:"evidence"`
	Storedown     bool                    `json:"storedown"`
	Leaving       bool                    `json:"leaving"`
	Unsettled     int                     `json:"unsettled"`
	Requests      map[string]int          `json:"requests"`
	Members       []fleet.Member          `json:"members"`
	Services      map[id.Service]Serviced `json:"services"`
	Organisations []Organised             `json:"organisations"`
	Ledger        any                     `json:"ledger"`
	Suspects      int                     `json:"suspects"`
}

// Serviced is the state of one service at an instance.
type Serviced struct {
	Queue    queue.Dump   `json:"queue"`
	Balance  balance.Dump `json:"balance"`
	Held     int          `json:"held"`
	Reported uint64       `json:"reported"`
}

// Organised is the state of one organisation at an instance.
type Organised struct {
	Organisation id.Organisation `json:"organisation"`
	Tokens       id.Tokens       `json:"tokens"`
	Waiting      int             `json:"waiting"`
	Served       uint64          `json:"served"`
	Refused      uint64          `json:"refused"`
	Homes        []id.Instance   `json:"homes"`
}

var stageNames = map[stage]string{
	stageShort: "short", stageBody: "body", stageClaim: "claim", stageQueued: "queued", stageHeld: "held",
	stageRunning: "running",
}

// Dump returns the state at the time now.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{
		Instance:    s.self.Instance,
		Incarnation: s.incarnation,
		Epoch:       s.epochs.current.Epoch,
		Heard:       s.epochs.heard.Epoch,
		Fresh:       s.fresh.isFresh(now),
		Evidence:    s.fresh.evidence,
		Storedown:   s.fresh.couldNotRead(now),
		Leaving:     s.stopping.isLeaving(),
		Unsettled:   s.stopping.unsettled,
		Requests:    make(map[string]int),
		Members:     s.view.Members(),
		Services:    make(map[id.Service]Serviced, len(s.services)),
		Ledger:      s.ledger.Dump(),
		Suspects:    s.suspects.Len(),
	}
	for _, r := range s.requests {
		d.Requests[stageNames[r.stage]]++
	}
	for name, svc := range s.services {
		d.Services[name] = Serviced{
			Queue: svc.queue.Dump(), Balance: svc.chooser.Dump(), Held: len(svc.held), Reported: svc.reports,
		}
	}
	for _, o := range s.organisations {
		d.Organisations = append(d.Organisations, s.organised(now, o))
	}
	slices.SortFunc(d.Organisations, func(a, b Organised) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return d
}

func (s *State) organised(now time.Time, o *organisation) Organised {
	out := Organised{Organisation: o.id, Waiting: len(o.waiting), Served: o.served, Refused: o.refused}
	if o.limit != "" {
		out.Tokens = s.ledger.Available(now, o.limit)
		out.Homes = s.ledger.Homes(o.limit)
	}
	return out
}
