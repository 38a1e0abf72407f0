package steering

import (
	"slices"
	"time"

	"bluebellhold/balance"
	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/queue"
)

// Dump is a snapshot of an instance for operators; it contains neither secrets nor their digests.
type Dump struct {
	Instance        id.Instance                `json:"instance"`
	Incarnation     id.Incarnation             `json:"incarnation"`
	Epoch           id.Epoch                   `json:"epoch"`
	NewestEpoch     id.Epoch                   `json:"heard"`
	Fresh           bool                       `json:"fresh"`
	VerifiedAt      time.Time                  `json:"evidence"`
	StoreDown       bool                       `json:"storedown"`
	Leaving         bool                       `json:"leaving"`
	UnsettledClaims int                        `json:"unsettled"`
	Requests        map[string]int             `json:"requests"`
	Members         []fleet.Member             `json:"members"`
	Services        map[id.Service]ServiceDump `json:"services"`
	Organisations   []OrganisationDump         `json:"organisations"`
	Ledger          any                        `json:"ledger"`
	Suspects        int                        `json:"suspects"`
}

// ServiceDump is a snapshot of one service at an instance.
type ServiceDump struct {
	Queue       queue.Dump   `json:"queue"`
	Balance     balance.Dump `json:"balance"`
	Constrained int          `json:"held"`
	LoadReports uint64       `json:"reported"`
}

// OrganisationDump is a snapshot of one organisation at an instance.
type OrganisationDump struct {
	Organisation id.Organisation `json:"organisation"`
	Tokens       id.Tokens       `json:"tokens"`
	Waiting      int             `json:"waiting"`
	Served       uint64          `json:"served"`
	RateLimited  uint64          `json:"refused"`
	Homes        []id.Instance   `json:"homes"`
}

var stageNames = map[stage]string{
	stageAwaitingToken: "short", stageReadingBody: "body", stageClaiming: "claim", stageQueued: "queued",
	stageConstrained: "held", stageInFlight: "running",
}

// Dump returns a snapshot at the time now.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{
		Instance:        s.self.Instance,
		Incarnation:     s.incarnation,
		Epoch:           s.epochs.current.Epoch,
		NewestEpoch:     s.epochs.newest.Epoch,
		Fresh:           s.freshness.isFresh(now),
		VerifiedAt:      s.freshness.verifiedAt,
		StoreDown:       s.freshness.isStoreDown(now),
		Leaving:         s.stop.isLeaving(),
		UnsettledClaims: s.stop.unsettledClaims,
		Requests:        make(map[string]int),
		Members:         s.view.Members(),
		Services:        make(map[id.Service]ServiceDump, len(s.services)),
		Ledger:          s.ledger.Dump(),
		Suspects:        s.suspects.Len(),
	}
	for _, r := range s.requests {
		d.Requests[stageNames[r.stage]]++
	}
	for name, svc := range s.services {
		d.Services[name] = ServiceDump{
			Queue: svc.queue.Dump(), Balance: svc.chooser.Dump(), Constrained: len(svc.constrained),
			LoadReports: svc.loadReports,
		}
	}
	for _, o := range s.organisations {
		d.Organisations = append(d.Organisations, s.dumpOrganisation(now, o))
	}
	slices.SortFunc(d.Organisations, func(a, b OrganisationDump) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return d
}

func (s *State) dumpOrganisation(now time.Time, o *organisation) OrganisationDump {
	out := OrganisationDump{Organisation: o.id, Waiting: len(o.tokenWaiters), Served: o.served, RateLimited: o.rateLimited}
	if o.limit != "" {
		out.Tokens = s.ledger.Available(now, o.limit)
		out.Homes = s.ledger.Homes(o.limit)
	}
	return out
}
