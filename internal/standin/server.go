package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bluebellhold/id"
)

// Server is a running stand-in; it is safe for concurrent use.
type Server struct {
	controlEndpoint  endpoint
	platformEndpoint endpoint
	platform         *platform
	directory        *directory
	totals           *totals
	cancel           context.CancelFunc
	prober           sync.WaitGroup

	mu        sync.Mutex
	upstreams map[id.Upstream]*upstream
}

// Start checks the settings and starts the platform, the upstreams and the control interface.
func Start(config Config) (*Server, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{directory: &directory{}, totals: newTotals(), cancel: cancel, upstreams: make(map[id.Upstream]*upstream)}
	s.platform = newPlatform(s.directory)
	s.platformEndpoint = endpoint{handler: s.platform, address: config.Platform}
	s.controlEndpoint = endpoint{handler: s.controlHandler(), address: config.Control}
	// The initial list is visible at once: the lag applies to changes only.
	lag := config.Members.Lag
	config.Members.Lag = 0
	s.directory.set(time.Now(), config.Members)
	s.directory.config.Lag = lag
	if err := s.startEndpoints(config.Services); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.prober.Go(func() { s.directory.runProbes(ctx) })
	return s, nil
}

func (s *Server) startEndpoints(services map[id.Service][]Upstream) error {
	for service, upstreams := range services {
		for _, u := range upstreams {
			u.Service = service
			if err := s.addUpstream(u); err != nil {
				return err
			}
		}
	}
	if err := s.platformEndpoint.start(); err != nil {
		return err
	}
	return s.controlEndpoint.start()
}

func (s *Server) addUpstream(config Upstream) error {
	if err := config.check(); err != nil {
		return err
	}
	s.mu.Lock()
	if s.upstreams[config.Name] != nil {
		s.mu.Unlock()
		return &ConfigError{Field: "name", Found: config.Name, Allowed: "each name once"}
	}
	u := newUpstream(config, s.totals)
	s.upstreams[config.Name] = u
	s.mu.Unlock()
	return u.startCold()
}

// Close drops all connections and stops listening.
func (s *Server) Close() error {
	s.cancel()
	s.prober.Wait()
	s.controlEndpoint.close()
	s.platformEndpoint.close()
	for _, u := range s.sortedUpstreams() {
		u.close()
	}
	return nil
}

// ControlAddress returns the address of the control interface.
func (s *Server) ControlAddress() string {
	return s.controlEndpoint.currentAddress()
}

// PlatformAddress returns the address of the simulated platform.
func (s *Server) PlatformAddress() string {
	return s.platformEndpoint.currentAddress()
}

// Upstreams returns the upstreams with their services and addresses, sorted by name.
func (s *Server) Upstreams() []Upstream {
	var list []Upstream
	for _, u := range s.sortedUpstreams() {
		config := u.currentConfig()
		config.Address = u.currentAddress()
		list = append(list, config)
	}
	return list
}

// sortedUpstreams returns the upstreams sorted by name.
func (s *Server) sortedUpstreams() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*upstream
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		list = append(list, s.upstreams[name])
	}
	return list
}

// SetFaults replaces the faults of the platform; the zero value clears all of them.
func (s *Server) SetFaults(faults Faults) error {
	return s.updateFaults(func(f *Faults) { *f = faults })
}

func (s *Server) updateFaults(change func(*Faults)) error {
	faults, err := s.platform.updateFaults(change)
	if err != nil {
		return err
	}
	if faults.Down == DownModeRefuse {
		s.platformEndpoint.stop()
		return nil
	}
	return s.platformEndpoint.start()
}

// SetMembers replaces the list of instances; the change becomes visible after the lag.
func (s *Server) SetMembers(config Members) error {
	if err := config.check(); err != nil {
		return err
	}
	s.directory.set(time.Now(), config)
	return nil
}

// Counts contains the counters since the start.
//
// RunsByKey holds the runs of each idempotency key, Concurrency the concurrent requests of each region and of each
// region/service.
type Counts struct {
	Platform    PlatformCounts                 `json:"platform"`
	Upstreams   map[id.Upstream]UpstreamCounts `json:"upstreams"`
	RunsByKey   map[string]int64               `json:"keys"`
	Concurrency map[string]Concurrency         `json:"places"`
}

// Counts returns a copy of all counts.
func (s *Server) Counts() Counts {
	counts := Counts{
		Platform:    s.platform.snapshot(),
		Upstreams:   make(map[id.Upstream]UpstreamCounts),
		Concurrency: make(map[string]Concurrency),
	}
	for _, u := range s.sortedUpstreams() {
		counts.Upstreams[u.config.Name] = u.snapshot()
	}
	s.totals.mu.Lock()
	defer s.totals.mu.Unlock()
	counts.RunsByKey = maps.Clone(s.totals.runsByKey)
	for name, concurrency := range s.totals.concurrency {
		counts.Concurrency[name] = *concurrency
	}
	return counts
}
