package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"bluebellhold/id"
	"bluebellhold/internal/loopback"
	"bluebellhold/internal/settings"
	"bluebellhold/store"
)

// Firm is the size of one user's fleet; the first region holds the platform and one instance more than the others.
type FleetSpec struct {
	Regions  []id.Region
	Services []ServiceSpec
}

// Size is the number of a service's servers, which are spread over all data centres, and the slots of each.
type ServiceSpec struct {
	Service       id.Service
	UpstreamCount int
	Slots         id.Slots
}

// The service time, the lag of the list and the outage after a crash suit scenarios that run for seconds.
const (
	fleetTime   Milliseconds = 2
	fleetLag    Milliseconds = 1000
	fleetOutage Milliseconds = 2000
)

// OperatorToken is the operators' token of a Fleet.
const OperatorToken = "operators-of-the-scenario"

const peersSecret = "secret-of-the-peers-of-the-scenario"

// Zadruga returns the size of Skrivni Božiček Zadruga.
func Zadruga() FleetSpec {
	return FleetSpec{
		Regions:  []id.Region{"osrednja", "stajerska", "primorska"},
		Services: []ServiceSpec{{"pregled", 14, 6}, {"zrebalnik", 12, 4}, {"darila", 12, 3}},
	}
}

// Cascadia returns the size of Cascadia Comb & Brush Works.
func Cascadia() FleetSpec {
	return FleetSpec{
		Regions:  []id.Region{"puget", "willamette", "inland"},
		Services: []ServiceSpec{{"catalogue", 18, 6}, {"orderdesk", 12, 5}, {"dealerdocs", 12, 3}},
	}
}

// Fleet is the settings of a stand-in and of the instances that use it, with free ports of 127.0.0.1.
type Fleet struct {
	Standin   Config
	Instances []settings.Settings
}

// Fleet picks ports and writes the settings into the directory: standin.json, a file for each instance under its name
// with .json, and the files of the secret and of the token. The stand-in lists the instances whose ports are open.
func (f FleetSpec) Generate(directory string) (Fleet, error) {
	var ports ports
	fleet := Fleet{Standin: Config{
		Control:  ports.next(),
		Platform: ports.next(),
		Members:  Members{Probe: true, Lag: fleetLag},
		Services: f.upstreams(&ports),
	}}
	for r, region := range f.Regions {
		for n := range f.instances(r) {
			fleet.add(settings.Settings{
				Name: id.Instance(fmt.Sprintf("%s-%d", region, n+1)), Region: region, DataCentre: dataCentre(region, n),
				Caller: ports.next(), Peer: ports.next(), Operator: ports.next(),
				Platform: "http://" + fleet.Standin.Platform,
				Secret:   filepath.Join(directory, "peers.secret"),
				Token:    filepath.Join(directory, "operators.token"),
				Testing:  true,
			})
		}
	}
	if ports.err != nil {
		return Fleet{}, ports.err
	}
	return fleet, fleet.write(directory)
}

func (f FleetSpec) instances(region int) int {
	if region == 0 {
		return 3
	}
	return 2
}

func (f FleetSpec) upstreams(ports *ports) map[id.Service][]Upstream {
	all := make(map[id.Service][]Upstream)
	for _, size := range f.Services {
		for n := range size.UpstreamCount {
			region := f.Regions[n%len(f.Regions)]
			all[size.Service] = append(all[size.Service], Upstream{
				Name:   id.Upstream(fmt.Sprintf("%s-%d", size.Service, n+1)),
				Region: region, DataCentre: dataCentre(region, n/len(f.Regions)),
				Address: ports.next(), Slots: size.Slots, ServiceTime: fleetTime, Outage: fleetOutage,
			})
		}
	}
	return all
}

// dataCentre alternates between the two data centres of a region.
func dataCentre(region id.Region, n int) id.DataCentre {
	return id.DataCentre(string(region) + []string{"-a", "-b"}[n%2])
}

func (f *Fleet) add(i settings.Settings) {
	f.Instances = append(f.Instances, i)
	f.Standin.Members.List = append(f.Standin.Members.List, store.Member{
		Instance: i.Name, Region: i.Region, DataCentre: i.DataCentre, Caller: i.Caller, Peer: i.Peer,
	})
}

func (f *Fleet) write(directory string) error {
	files := map[string]any{"standin.json": f.Standin}
	for _, i := range f.Instances {
		files[string(i.Name)+".json"] = i
	}
	for name, settings := range files {
		body, err := json.MarshalIndent(settings, "", "  ")
		if err == nil {
			err = os.WriteFile(filepath.Join(directory, name), body, 0o600)
		}
		if err != nil {
			return &FleetError{Cause: err}
		}
	}
	for name, text := range map[string]string{"peers.secret": peersSecret, "operators.token": OperatorToken} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			return &FleetError{Cause: err}
		}
	}
	return nil
}

// ports picks free ports and keeps the first failure.
type ports struct {
	err error
}

func (p *ports) next() string {
	address, err := loopback.FreeAddress()
	if err != nil && p.err == nil {
		p.err = &FleetError{Cause: err}
	}
	return address
}

// FleetError reports settings that could not be written or a port that could not be found.
type FleetError struct {
	Cause error
}

// Error shows the cause.
func (e *FleetError) Error() string {
	return "standin: cannot set up a fleet: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FleetError) Unwrap() error {
	return e.Cause
}
