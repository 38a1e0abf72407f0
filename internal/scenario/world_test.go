//go:build linux

package scenario_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"bluebellhold/id"
	"bluebellhold/internal/standin"
	"bluebellhold/platform"
)

type worldKey struct{}

// world is what one script can see: its directory, its addresses by target and its processes.
type world struct {
	directory string
	addresses map[string]string
	processes map[string]*process
}

// daemon is the settings of one instance.
type daemon struct {
	Name       id.Instance   `json:"name"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Caller     string        `json:"caller"`
	Peer       string        `json:"peer"`
	Operator   string        `json:"operator"`
	Platform   string        `json:"platform"`
	Secret     string        `json:"secret"`
	Token      string        `json:"token"`
}

// The sizes are those of the smaller user; the first region has one instance more than the others.
var (
	regions   = []id.Region{"osrednja", "stajerska", "primorska"}
	instances = map[id.Region]int{"osrednja": 3, "stajerska": 2, "primorska": 2}
	services  = map[id.Service]struct {
		servers int
		slots   id.Slots
	}{"pregled": {14, 6}, "zrebalnik": {12, 4}, "darila": {12, 3}}
)

const operatorToken = "operators-of-the-scenario"

func newWorld(env *testscript.Env) (*world, error) {
	w := &world{directory: env.WorkDir, addresses: map[string]string{}, processes: map[string]*process{}}
	config := standin.Config{
		Control:  w.claim("control"),
		Platform: w.claim("platform"),
		Members:  standin.Members{Probe: true, Lag: 1000},
		Services: w.upstreams(),
	}
	for _, d := range w.daemons() {
		config.Members.List = append(config.Members.List, platform.Member{
			Instance: d.Name, Region: d.Region, DataCentre: d.DataCentre, Caller: d.Caller, Peer: d.Peer,
		})
		if err := w.writeJSON(string(d.Name), d); err != nil {
			return nil, err
		}
	}
	if err := w.writeJSON("standin", config); err != nil {
		return nil, err
	}
	for name, address := range w.addresses {
		env.Setenv(strings.ToUpper(strings.NewReplacer("-", "_", ":", "_").Replace(name)), address)
	}
	env.Setenv("PLATFORM", "http://"+w.addresses["platform"])
	env.Setenv("TOKEN", operatorToken)
	env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
	if err := w.write("peers.secret", "peers-of-the-scenario-"+filepath.Base(w.directory)); err != nil {
		return nil, err
	}
	return w, w.write("operators.token", operatorToken)
}

func (w *world) daemons() []daemon {
	var list []daemon
	for _, region := range regions {
		for n := range instances[region] {
			name := fmt.Sprintf("%s-%d", region, n+1)
			list = append(list, daemon{
				Name: id.Instance(name), Region: region, DataCentre: dataCentre(region, n),
				Caller: w.claim(name), Peer: w.claim(name + ":peer"), Operator: w.claim(name + ":operator"),
				Platform: "http://" + w.addresses["platform"],
				Secret:   filepath.Join(w.directory, "peers.secret"),
				Token:    filepath.Join(w.directory, "operators.token"),
			})
		}
	}
	return list
}

// dataCentre alternates between the two data centres of a region.
func dataCentre(region id.Region, n int) id.DataCentre {
	return id.DataCentre(string(region) + []string{"-a", "-b"}[n%2])
}

func (w *world) upstreams() map[id.Service][]standin.Upstream {
	all := make(map[id.Service][]standin.Upstream)
	for service, size := range services {
		for n := range size.servers {
			name := fmt.Sprintf("%s-%d", service, n+1)
			region := regions[n%len(regions)]
			all[service] = append(all[service], standin.Upstream{
				Name: id.Upstream(name), Region: region, DataCentre: dataCentre(region, n/len(regions)),
				Address: w.claim(name), Slots: size.slots, Time: 2, Outage: 2000,
			})
		}
	}
	return all
}

func (w *world) writeJSON(name string, settings any) error {
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return w.write(name+".json", string(body))
}

func (w *world) write(name, body string) error {
	return os.WriteFile(filepath.Join(w.directory, name), []byte(body), 0o600)
}

// The ports lie below the range that the kernel picks local ports from, so a port stays free until it is bound again.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

// claim finds a free port for the target and returns its address; it starts at a place that depends on the process,
// so that two test processes rarely try the same ports.
func (w *world) claim(target string) string {
	for range lastPort - firstPort {
		n := int64(os.Getpid())*61 + nextPort.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		w.addresses[target] = address
		return address
	}
	panic("scenario: no free port")
}
