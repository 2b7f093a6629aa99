package soaker

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/cmd"
)

// TestHangupWhileStarting guards against a process that SIGHUP ends while it reads its settings. The platform sends the signal when the settings have
// changed, also just after it has started a process.
func TestHangupWhileStarting(t *testing.T) {
	// The process opens the pipe when it reads its settings, and waits until they are written.
	settings := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	process := exec.CommandContext(t.Context(), binary, "fleet", "--settings", settings)
	assert.NilError(t, process.Start())
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
	// The errors of a process that the signal has ended are left to the check of its exit code.
	_, _ = io.WriteString(pipe, "{}")
	_ = pipe.Close()
	_ = process.Wait()
	assert.Equal(t, process.ProcessState.ExitCode(), cmd.ExitFindings, "%v", process.ProcessState)
}
