package integration_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// commandLine runs a script of commands against a deployment. exitCode, stdout and stderr are those of the latest command.
type commandLine struct {
	*deployment
	dir       string
	variables *strings.Replacer
	input     string

	command  string
	exitCode int
	stdout   string
	stderr   string
}

// Guards against exit codes and outputs of the command line that differ from its help text.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	c := &commandLine{
		deployment: d,
		dir:        t.TempDir(),
		variables: strings.NewReplacer(
			"$ID", idAt(time.Now()),
			"$OTHER", idAt(time.Now()),
			"$OLD", idAt(time.Now().Add(-claimer.ClaimRetention-time.Minute)),
		),
	}
	extra := parser.Policy{
		Name:     "extra",
		Inherits: "default",
	}
	c.write("set.yaml", parser.EncodeYAML(d.Set))
	c.write("changed.yaml", parser.EncodeYAML(append(slices.Clone(d.Set), extra)))
	c.write("faulty.yaml", parser.EncodeYAML(append(slices.Clone(d.Set), invalidObjects()...)))
	c.write("broken.yaml", []byte("Kind: Policy\nName: default\nColour: red\nHedgePercent: many\n"))
	script, err := os.ReadFile(filepath.Join("testdata", "cli.txt"))
	assert.NilError(t, err)
	for n, line := range strings.Split(string(script), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			c.runLine(n+1, line)
		}
	}
}

func (c *commandLine) write(name string, data []byte) {
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.dir, name), data, 0o600))
}

// runLine executes one line of the script: it runs a command, prepares the next one or checks the latest one.
func (c *commandLine) runLine(n int, line string) {
	verb, rest, _ := strings.Cut(line, " ")
	holds := true
	switch verb {
	case ">":
		c.run(rest)
	case "in":
		c.input = rest
	case "platform":
		assert.NilError(c.t, c.SetPlatformSwitches(rest))
	case "exit":
		holds = strconv.Itoa(c.exitCode) == rest
	case "out":
		holds = regexp.MustCompile(rest).MatchString(c.stdout)
	case "not":
		holds = !regexp.MustCompile(rest).MatchString(c.stdout)
	case "err":
		holds = regexp.MustCompile(rest).MatchString(c.stderr)
	case "json":
		holds = json.Valid([]byte(c.stdout))
	case "quiet":
		holds = c.stderr == ""
	default:
		c.t.Fatalf("line %d: unknown verb %q", n, verb)
	}
	if !holds {
		c.t.Errorf("line %d: check %q failed for command %q with exit code %d\nstdout: %.1500s\nstderr: %.1500s", n, line, c.command, c.exitCode, c.stdout, c.stderr)
	}
}

// argumentPattern matches an argument, which is quoted if it contains spaces.
var argumentPattern = regexp.MustCompile(`"[^"]*"|\S+`)

func (c *commandLine) run(text string) {
	c.command = c.variables.Replace(text)
	var args []string
	for _, arg := range argumentPattern.FindAllString(c.command, -1) {
		args = append(args, strings.Trim(arg, `"`))
	}
	vm := c.VMs()[0]
	cmd := exec.Command(filepath.Join(binDir, "anvildyke"), args...)
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "ANVILDYKE_CLI_OPERATOR="+vm.Operator.String(), "ANVILDYKE_CLI_CALLER="+vm.Caller.String())
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if c.input != "" {
		data, err := os.ReadFile(filepath.Join(c.dir, c.input))
		assert.NilError(c.t, err)
		cmd.Stdin = bytes.NewReader(data)
		c.input = ""
	}
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatal(err)
	}
	c.exitCode, c.stdout, c.stderr = cmd.ProcessState.ExitCode(), out.String(), errs.String()
}
