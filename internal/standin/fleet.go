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

// FleetSpec describes an example fleet: the first region has the platform and three instances, the others two.
type FleetSpec struct {
	Regions  []id.Region
	Services []ServiceSpec
}

// ServiceSpec describes the upstreams of a service, which are spread over all data centres; Slots is per upstream.
type ServiceSpec struct {
	Service       id.Service
	UpstreamCount int
	Slots         id.Slots
}

// The service time, the directory lag and the outage after a crash suit scenarios that run for seconds.
const (
	fleetServiceTime  Milliseconds = 2
	fleetDirectoryLag Milliseconds = 1000
	fleetOutage       Milliseconds = 2000
)

// OperatorToken is the operators' token of each generated Fleet.
const OperatorToken = "operators-of-the-scenario"

const peerSecret = "secret-of-the-peers-of-the-scenario"

// Zadruga returns the smaller example fleet, that of Skrivni Božiček Zadruga.
func Zadruga() FleetSpec {
	return FleetSpec{
		Regions:  []id.Region{"osrednja", "stajerska", "primorska"},
		Services: []ServiceSpec{{"pregled", 14, 6}, {"zrebalnik", 12, 4}, {"darila", 12, 3}},
	}
}

// Cascadia returns the larger example fleet, that of Cascadia Comb & Brush Works.
func Cascadia() FleetSpec {
	return FleetSpec{
		Regions:  []id.Region{"puget", "willamette", "inland"},
		Services: []ServiceSpec{{"catalogue", 18, 6}, {"orderdesk", 12, 5}, {"dealerdocs", 12, 3}},
	}
}

// Fleet contains the settings of a stand-in and of the instances that use it, with free ports of 127.0.0.1.
type Fleet struct {
	Standin   Config
	Instances []settings.Settings
}

// Generate picks ports and writes the settings into dir: standin.json, NAME.json for each instance, and the files
// peers.secret and operators.token. The stand-in lists the instances that accept connections at their peer addresses.
func (f FleetSpec) Generate(dir string) (Fleet, error) {
	var addresses addressAllocator
	fleet := Fleet{Standin: Config{
		Control:  addresses.next(),
		Platform: addresses.next(),
		Members:  Members{Probe: true, Lag: fleetDirectoryLag},
		Services: f.upstreamConfigs(&addresses),
	}}
	for r, region := range f.Regions {
		for n := range f.instanceCount(r) {
			fleet.addInstance(settings.Settings{
				Name: id.Instance(fmt.Sprintf("%s-%d", region, n+1)), Region: region, DataCentre: dataCentre(region, n),
				CallerAddress: addresses.next(), PeerAddress: addresses.next(), OperatorAddress: addresses.next(),
				PlatformURL: "http://" + fleet.Standin.Platform,
				SecretFile:  filepath.Join(dir, "peers.secret"),
				TokenFile:   filepath.Join(dir, "operators.token"),
				Testing:     true,
			})
		}
	}
	if addresses.err != nil {
		return Fleet{}, addresses.err
	}
	return fleet, fleet.write(dir)
}

func (f FleetSpec) instanceCount(region int) int {
	if region == 0 {
		return 3
	}
	return 2
}

func (f FleetSpec) upstreamConfigs(addresses *addressAllocator) map[id.Service][]Upstream {
	upstreams := make(map[id.Service][]Upstream)
	for _, spec := range f.Services {
		for n := range spec.UpstreamCount {
			region := f.Regions[n%len(f.Regions)]
			upstreams[spec.Service] = append(upstreams[spec.Service], Upstream{
				Name:   id.Upstream(fmt.Sprintf("%s-%d", spec.Service, n+1)),
				Region: region, DataCentre: dataCentre(region, n/len(f.Regions)),
				Address: addresses.next(), Slots: spec.Slots, ServiceTime: fleetServiceTime, Outage: fleetOutage,
			})
		}
	}
	return upstreams
}

// dataCentre alternates between the two data centres of a region.
func dataCentre(region id.Region, n int) id.DataCentre {
	return id.DataCentre(string(region) + []string{"-a", "-b"}[n%2])
}

func (f *Fleet) addInstance(i settings.Settings) {
	f.Instances = append(f.Instances, i)
	f.Standin.Members.List = append(f.Standin.Members.List, store.Member{
		Instance: i.Name, Region: i.Region, DataCentre: i.DataCentre, Caller: i.CallerAddress, Peer: i.PeerAddress,
	})
}

func (f *Fleet) write(dir string) error {
	files := map[string]any{"standin.json": f.Standin}
	for _, i := range f.Instances {
		files[string(i.Name)+".json"] = i
	}
	for name, content := range files {
		body, err := json.MarshalIndent(content, "", "  ")
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), body, 0o600)
		}
		if err != nil {
			return &FleetError{Cause: err}
		}
	}
	for name, text := range map[string]string{"peers.secret": peerSecret, "operators.token": OperatorToken} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return &FleetError{Cause: err}
		}
	}
	return nil
}

// addressAllocator picks free loopback addresses and keeps the first error.
type addressAllocator struct {
	err error
}

func (a *addressAllocator) next() string {
	address, err := loopback.FreeAddress()
	if err != nil && a.err == nil {
		a.err = &FleetError{Cause: err}
	}
	return address
}

// FleetError reports that the settings of a fleet could not be written or that no port was free.
type FleetError struct {
	Cause error
}

// Error includes the cause.
func (e *FleetError) Error() string {
	return "standin: cannot set up a fleet: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FleetError) Unwrap() error {
	return e.Cause
}
