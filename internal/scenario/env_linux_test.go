package scenario_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"bluebellhold/internal/standin"
)

type scriptEnvKey struct{}

// scriptEnv is the environment of one script: its working directory, addresses by target, processes, loads and fleet.
type scriptEnv struct {
	workDir   string
	addresses map[string]string
	processes map[string]*process
	loads     map[string]*load
	fleet     standin.Fleet
}

// newScriptEnv generates the fleet that the script's file "firm" names; the default is the smaller one, Zadruga.
func newScriptEnv(env *testscript.Env) (*scriptEnv, error) {
	spec := standin.Zadruga()
	if name, err := os.ReadFile(env.WorkDir + "/firm"); err == nil && strings.TrimSpace(string(name)) == "cascadia" {
		spec = standin.Cascadia()
	}
	fleet, err := spec.Generate(env.WorkDir)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{"control": fleet.Standin.Control, "platform": fleet.Standin.Platform}
	for _, i := range fleet.Instances {
		name := string(i.Name)
		addresses[name], addresses[name+":peer"], addresses[name+":operator"] = i.CallerAddress, i.PeerAddress, i.OperatorAddress
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
	env.Setenv("PATH", programDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	e := &scriptEnv{
		workDir: env.WorkDir, addresses: addresses, processes: map[string]*process{}, loads: map[string]*load{},
		fleet: fleet,
	}
	return e, e.writeNote()
}

// writeNote writes the release note note.json, which the command fleet applies.
func (e *scriptEnv) writeNote() error {
	body, err := json.Marshal(initialNote(e.fleet.Standin.Services))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(e.workDir, "note.json"), body, 0o600)
}
