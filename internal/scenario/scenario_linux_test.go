package scenario_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// programDir is the directory with the built programs of this module.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	build := exec.Command("go", "build", "-o", dir, "bluebellhold/cmd/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

func scriptParams(onSetup func(*scriptEnv)) testscript.Params {
	return testscript.Params{
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds:                commands(),
		Setup: func(env *testscript.Env) error {
			e, err := newScriptEnv(env)
			if err != nil {
				return err
			}
			env.Values[scriptEnvKey{}] = e
			env.Defer(e.killAll)
			onSetup(e)
			return nil
		},
	}
}

// Guards against testscript's own command stop, which ends a script early and reports success.
func TestScriptsDoNotUseStop(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		text, err := os.ReadFile(script)
		require.NoError(t, err)
		require.NotRegexp(t, `(?m)^\s*(\[.*\]\s*)?stop\b`, string(text), script)
	}
}

func TestScenarios(t *testing.T) {
	p := scriptParams(func(*scriptEnv) {})
	p.Dir = "testdata"
	testscript.Run(t, p)
}

// recorder is a testscript.T that records a failure without failing the enclosing test.
type recorder struct {
	testscript.T
	failed bool
}

func (s *recorder) Fatal(...any)  { s.FailNow() }
func (s *recorder) Parallel()     {}
func (s *recorder) Log(...any)    {}
func (s *recorder) Verbose() bool { return false }
func (s *recorder) FailNow()      { s.failed = true; panic(s) }

func (s *recorder) Run(_ string, run func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != any(s) {
			panic(r)
		}
	}()
	run(s)
}

// failingScripts must fail at their last command, after they started the given number of processes.
var failingScripts = map[string]struct {
	script    string
	processes int
}{
	"missing process": {"start a standin\nstart b standin\nfreeze b\ncrash missing\n", 2},
	"exit status":     {"start a /bin/sh -c 'trap \"exit 3\" TERM; echo ready; while :; do sleep 0.05; done'\nterminate a\n", 1},
	"never ready":     {"start a /bin/sh -c 'exit 0'\n", 1},
	"no match":        {"start a standin --settings standin.json\nawait -within=100ms never counts\n", 1},
	"match":           {"start a standin --settings standin.json\n! await -within=5s platform counts\n", 1},
	"no answer":       {"request pregled-1 GET /health\n", 0},
	"unknown target":  {"! request pregled-99 GET /health\n", 0},
	"never started":   {"! terminate a\n", 0},
	"refused control": {"start a standin --settings standin.json\ncontrol /control/faults '{\"slow\":-1}'\n", 1},
}

// Guards against checks that cannot fail, and against processes that outlive a failed script, including those that
// SIGSTOP has stopped.
func TestFailedScriptKillsItsProcesses(t *testing.T) {
	for name, test := range failingScripts {
		t.Run(name, func(t *testing.T) {
			script := filepath.Join(t.TempDir(), "failing.txtar")
			require.NoError(t, os.WriteFile(script, []byte(test.script), 0o600))
			var env *scriptEnv
			p := scriptParams(func(e *scriptEnv) { env = e })
			p.Files = []string{script}
			result := &recorder{}
			testscript.RunT(result, p)
			require.True(t, result.failed)
			require.Len(t, env.processes, test.processes)
			for _, process := range env.processes {
				require.ErrorIs(t, syscall.Kill(process.command.Process.Pid, 0), syscall.ESRCH)
			}
		})
	}
}
