// These tests guard against codes that the documentation does not list, against descriptions that do not match whether the
// request was run, and against errors that lose their code or cause.
package classifier

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestDocumentationListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	assert.NilError(t, err)
	for _, c := range Codes() {
		row := fmt.Sprintf("| %d | %s | %d | %s |", uint16(c), c, c.HTTPStatus(), c.Description())
		assert.Assert(t, cmp.Contains(string(page), row))
	}
	assert.Equal(t, strings.Count(string(page), "\n| "), len(Codes())+1)
}

func TestRefusalsAreNotRun(t *testing.T) {
	for _, c := range Codes() {
		saysNotRun := strings.HasPrefix(c.Description(), "Not run:")
		assert.Assert(t, !saysNotRun || c.NotRun(), "the description of %s must not start with \"Not run:\"", c)
		if c >= Overloaded && c < OutcomeUnknown {
			assert.Assert(t, saysNotRun, "the description of %s must start with \"Not run:\"", c)
		}
	}
}

func TestErrorKeepsCodeAndCause(t *testing.T) {
	err := fmt.Errorf("sending: %w", Errorf(NotSent, "dialing: %w", os.ErrDeadlineExceeded))
	assert.Equal(t, CodeOf(err), NotSent)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Equal(t, CodeOf(os.ErrClosed), Internal)
}
