package standin

import (
	"bluebellhold/id"
)

// Heal ends all faults of the platform.
func (s *Server) ClearFaults() error {
	return s.SetFaults(Faults{})
}

// SetDown takes the platform down in one of the ways, or up.
func (s *Server) SetDown(mode DownMode) error {
	return s.updateFaults(func(f *Faults) { f.Down = mode })
}

// SetSlow delays each request to the platform before it takes effect.
func (s *Server) SetDelay(delay Milliseconds) error {
	return s.updateFaults(func(f *Faults) { f.Delay = delay })
}

// LoseAnswers drops the answers of the next n committed transactions, or of All.
func (s *Server) LoseResponses(n int) error {
	return s.updateFaults(func(f *Faults) { f.LostResponses = n })
}

// Cut drops the requests of exactly these instances to the platform.
func (s *Server) Partition(instances ...id.Instance) error {
	return s.updateFaults(func(f *Faults) { f.Partitioned = instances })
}

// Kill drops all connections of an upstream and keeps it down until Revive.
func (s *Server) Kill(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionKill})
}

// Revive starts an upstream cold after Kill or a crash.
func (s *Server) Revive(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionRevive})
}

// MarkDrain sets the drain mark of an upstream; work that it starts from now on counts as late.
func (s *Server) MarkDrain(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionDrain})
}

// SetSlots changes the number of requests that an upstream runs at the same time.
func (s *Server) SetSlots(name id.Upstream, slots id.Slots) error {
	return s.changeByName(name, Change{Slots: &slots})
}

// SetTime changes the service time of an upstream for requests that start from now on.
func (s *Server) SetServiceTime(name id.Upstream, serviceTime Milliseconds) error {
	return s.changeByName(name, Change{ServiceTime: &serviceTime})
}

// LagLoad delays the load reports of an upstream.
func (s *Server) DelayLoadReports(name id.Upstream, delay Milliseconds) error {
	return s.changeByName(name, Change{LoadReportDelay: &delay})
}

// LieLoad makes an upstream report this number of running requests; a negative one ends the lie.
func (s *Server) OverrideLoadReports(name id.Upstream, running int) error {
	return s.changeByName(name, Change{ReportedRunning: &running})
}

// MuteLoad makes the load reports of an upstream fail.
func (s *Server) FailLoadReports(name id.Upstream, fail bool) error {
	return s.changeByName(name, Change{FailLoadReports: &fail})
}

func (s *Server) changeByName(name id.Upstream, c Change) error {
	if name == "" {
		return &ConfigError{Field: "name", Found: name, Allowed: "an upstream that exists"}
	}
	c.Name = name
	return s.Change(c)
}

// Runs returns how often requests with the idempotency key were started.
func (s *Server) Runs(key string) int64 {
	return s.Counts().RunsByKey[key]
}

// Upstream returns the counts of an upstream; all are zero if it does not exist.
func (s *Server) UpstreamCounts(name id.Upstream) UpstreamCounts {
	return s.Counts().Upstreams[name]
}

// Peak returns the most requests that ran at the same time in a region, or in a region for one service if the name is
// region/service.
func (s *Server) PeakConcurrency(scope string) int {
	return s.Counts().Concurrency[scope].Peak
}
