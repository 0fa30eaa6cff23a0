package main

import (
	"bufio"
	"context"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
)

// runMainEnv is the environment variable that makes the test binary run main instead of the tests.
const runMainEnv = "STANDIN_TEST_AS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startCommand starts the command as a process and returns it with the line that it prints when it is ready.
func startCommand(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, _ := bufio.NewReader(out).ReadString('\n')
	return cmd, line
}

// Guards against stand-ins that do not stop at SIGTERM, and against exit codes that do not match the reason of the exit.
func TestExitCodes(t *testing.T) {
	for _, name := range []string{"platform", "backend"} {
		cmd, line := startCommand(t, name)
		assert.Assert(t, strings.HasPrefix(line, "Address=127.0.0.1:"), "%q", line)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, cmd.Wait())
	}
	cmd, _ := startCommand(t, "backend", "-slots", "0")
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.ExitCode(), 2)
}

// Guards against a connector that reports the crash of a server as a response or as a request that was not sent.
func TestCrashResetsConnection(t *testing.T) {
	cmd, line := startCommand(t, "backend", "-held", "1:0:1")
	address, _, _ := strings.Cut(strings.TrimPrefix(line, "Address="), " ")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := connector.NewHTTPDialer().Dial(ctx, netip.MustParseAddrPort(address))
	assert.NilError(t, err)
	_, err = c.Search(ctx, connector.SearchRequest{
		RequestID: "q1",
		Snapshot:  1,
		Body:      []byte("CRASH"),
	})
	assert.Equal(t, classifier.CodeOf(err), classifier.ConnectionReset)
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.ExitCode(), backend.CrashExitCode)
}
