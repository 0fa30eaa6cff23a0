package integration_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
)

var exampleBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// Guards against examples in the documentation for operators that do not work.
func TestDocumentedExamplesRun(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "set.yaml"), parser.EncodeYAML(d.Set), 0o600))
	out := slices.Clone(d.Set)
	for i, o := range out {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == zoneName(0) {
			z.State = parser.ZoneOutOfService
			out[i] = z
		}
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "zone-out.yaml"), parser.EncodeYAML(out), 0o600))
	program, err := filepath.Abs(filepath.Join(binDir, "anvildyke"))
	assert.NilError(t, err)
	v := d.VMs()[len(d.VMs())-1]
	runs := 0
	for _, page := range []string{"README.md", "docs/OPERATIONS.md", "docs/API.md"} {
		text, err := os.ReadFile(filepath.Join("..", page))
		assert.NilError(t, err)
		for _, block := range exampleBlock.FindAllStringSubmatch(string(text), -1) {
			for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
				// The shell splits the line as it does for a reader of the page.
				cmd := exec.Command("sh", "-c", strings.Replace(line, "anvildyke", program, 1))
				cmd.Dir = dir
				cmd.Env = append(os.Environ(), "ANVILDYKE_CLI_OPERATOR="+v.Operator.String(), "ANVILDYKE_CLI_CALLER="+v.Caller.String())
				output, err := cmd.CombinedOutput()
				assert.NilError(t, err, "%s: %s\n%s", page, line, output)
				runs++
			}
		}
	}
	assert.Assert(t, runs > 5, "only %d examples were found", runs)
}
