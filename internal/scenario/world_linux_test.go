package scenario_test

import (
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"bluebellhold/internal/standin"
)

type worldKey struct{}

// world is what one script can see: its directory, its addresses by target and its processes.
type world struct {
	directory string
	addresses map[string]string
	processes map[string]*process
}

// newWorld sets up the firm that the script's file "firm" names; without the file it is the smaller one.
func newWorld(env *testscript.Env) (*world, error) {
	firm := standin.Zadruga()
	if name, err := os.ReadFile(env.WorkDir + "/firm"); err == nil && strings.TrimSpace(string(name)) == "cascadia" {
		firm = standin.Cascadia()
	}
	fleet, err := firm.Fleet(env.WorkDir)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{"control": fleet.Standin.Control, "platform": fleet.Standin.Platform}
	for _, i := range fleet.Instances {
		name := string(i.Name)
		addresses[name], addresses[name+":peer"], addresses[name+":operator"] = i.Caller, i.Peer, i.Operator
	}
	for _, upstreams := range fleet.Standin.Services {
		for _, u := range upstreams {
			addresses[string(u.Name)] = u.Address
		}
	}
	for name, address := range addresses {
		env.Setenv(strings.ToUpper(strings.NewReplacer("-", "_", ":", "_").Replace(name)), address)
	}
	env.Setenv("PLATFORM", "http://"+addresses["platform"])
	env.Setenv("TOKEN", standin.OperatorToken)
	env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
	return &world{directory: env.WorkDir, addresses: addresses, processes: map[string]*process{}}, nil
}
