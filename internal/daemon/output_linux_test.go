package daemon

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/outputpipe"
)

// Guards against a process that waits for its output to take the error that ends it.
func TestInvalidSettingsEndAProcessWithUnreadOutput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	output, err := outputpipe.New(io.Discard)
	require.NoError(t, err)
	require.NoError(t, output.Stall())
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsVariable+"="+path)
	command.Stdout, command.Stderr = output.Writer(), output.Writer()
	require.NoError(t, command.Start())
	killer := time.AfterFunc(20*time.Second, func() { _ = command.Process.Kill() })
	defer killer.Stop()
	err = command.Wait()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, ExitUsage, exit.ExitCode(), "-1 means that the process was killed because it did not end")
	require.NoError(t, output.Release())
}
