package standin

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"bluebellhold/id"
)

// Action is the action of a Change on the upstreams that it selects.
type Action string

// The actions of a Change. ActionKill drops all connections without responses until ActionRevive. ActionDrain sets the
// drain mark, after which started runs are counted in RunsAfterDrain, and ActionUndrain removes it. ActionStart starts
// the new upstream in the field Upstream of the Change.
const (
	ActionStart   Action = "start"
	ActionKill    Action = "kill"
	ActionRevive  Action = "revive"
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
)

// Change selects the upstreams that match each non-empty field of Name, Service, Region and DataCentre, applies the
// Action and sets the values of the other fields that are not nil.
//
// LoadReportDelay, ReportedRunning and FailLoadReports change the load reports; with a negative ReportedRunning, they
// give the true number of running requests.
type Change struct {
	Name            id.Upstream   `json:"name,omitempty"`
	Service         id.Service    `json:"service,omitempty"`
	Region          id.Region     `json:"region,omitempty"`
	DataCentre      id.DataCentre `json:"datacentre,omitempty"`
	Action          Action        `json:"action,omitempty"`
	Upstream        *Upstream     `json:"upstream,omitempty"`
	Slots           *id.Slots     `json:"slots,omitempty"`
	ServiceTime     *Milliseconds `json:"time,omitempty"`
	Outage          *Milliseconds `json:"outage,omitempty"`
	LoadReportDelay *Milliseconds `json:"lag,omitempty"`
	ReportedRunning *int          `json:"lie,omitempty"`
	FailLoadReports *bool         `json:"mute,omitempty"`
}

func (c Change) check() error {
	switch c.Action {
	case "", ActionKill, ActionRevive, ActionDrain, ActionUndrain:
	default:
		return &ConfigError{Field: "action", Found: c.Action, Allowed: []Action{ActionStart, ActionKill, ActionRevive, ActionDrain, ActionUndrain}}
	}
	if c.Upstream != nil {
		return &ConfigError{Field: "upstream", Found: c.Upstream.Name, Allowed: "only with action start"}
	}
	if c.Slots != nil && *c.Slots < 1 {
		return &ConfigError{Field: "slots", Found: *c.Slots, Allowed: "at least 1"}
	}
	for _, duration := range []*Milliseconds{c.ServiceTime, c.Outage, c.LoadReportDelay} {
		if duration != nil && *duration < 0 {
			return &ConfigError{Field: "time, outage or lag", Found: *duration, Allowed: "zero or more"}
		}
	}
	return nil
}

func (c Change) selects(u Upstream) bool {
	return (c.Name == "" || c.Name == u.Name) && (c.Service == "" || c.Service == u.Service) &&
		(c.Region == "" || c.Region == u.Region) && (c.DataCentre == "" || c.DataCentre == u.DataCentre)
}

// Change applies c to the selected upstreams; it returns a ConfigError if none is selected.
func (s *Server) Change(c Change) error {
	if c.Action == ActionStart {
		if c.Upstream == nil {
			return &ConfigError{Field: "upstream", Found: "nothing", Allowed: "the upstream to start"}
		}
		return s.addUpstream(*c.Upstream)
	}
	if err := c.check(); err != nil {
		return err
	}
	if c.Name == "" && c.Service == "" && c.Region == "" && c.DataCentre == "" {
		return &ConfigError{Field: "selection", Found: "nothing", Allowed: "name, service, region or datacentre"}
	}
	found := false
	for _, u := range s.sortedUpstreams() {
		if !c.selects(u.currentConfig()) {
			continue
		}
		found = true
		if err := u.apply(c); err != nil {
			return err
		}
	}
	if !found {
		return &ConfigError{Field: "selection", Found: c, Allowed: "an upstream that exists"}
	}
	return nil
}

func (u *upstream) apply(c Change) error {
	u.applySettings(c)
	switch c.Action {
	case ActionKill:
		u.stop()
	case ActionRevive:
		return u.startCold()
	case ActionDrain, ActionUndrain:
		u.setDrainMark(c.Action == ActionDrain)
	}
	return nil
}

func (u *upstream) applySettings(c Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Slots != nil {
		u.config.Slots = *c.Slots
	}
	if c.ServiceTime != nil {
		u.config.ServiceTime = *c.ServiceTime
	}
	if c.Outage != nil {
		u.config.Outage = *c.Outage
	}
	if c.LoadReportDelay != nil {
		u.loadReports.delay = c.LoadReportDelay.Duration()
		u.loadReports.history = []sample{{at: time.Now(), running: u.counts.Running}}
	}
	if c.ReportedRunning != nil {
		u.loadReports.override = *c.ReportedRunning
	}
	if c.FailLoadReports != nil {
		u.loadReports.failing = *c.FailLoadReports
	}
}

func (s *Server) controlHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		handleChange(w, r, &faults, func() error { return s.SetFaults(faults) })
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/members", func(w http.ResponseWriter, r *http.Request) {
		var config Members
		handleChange(w, r, &config, func() error { return s.SetMembers(config) })
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/upstreams", func(w http.ResponseWriter, r *http.Request) {
		var change Change
		handleChange(w, r, &change, func() error { return s.Change(change) })
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/upstreams", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Platform  string     `json:"platform"`
			Upstreams []Upstream `json:"upstreams"`
		}{s.PlatformAddress(), s.Upstreams()})
	}).Methods(http.MethodGet)
	router.HandleFunc("/control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	return router
}

// handleChange decodes the body into target, calls change and responds with status 200 or 400.
func handleChange(w http.ResponseWriter, r *http.Request, target any, change func() error) {
	err := decode(http.MaxBytesReader(w, r.Body, 1<<20), target)
	if err == nil {
		err = change()
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
