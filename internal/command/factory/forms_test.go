package factory_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/standin/replayer"
)

// Guards against commands that report success, or print what they have received, after a malformed response, and against good
// responses in an unusual form that are rejected.
func TestResponseForms(t *testing.T) {
	responses, err := replayer.Responses()
	assert.NilError(t, err)
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			s, err := replayer.Serve(r, "")
			assert.NilError(t, err)
			defer s.Close()
			f := factory.New(strings.NewReader(""), io.Discard, io.Discard)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			status, body, err := f.Do(ctx, http.MethodPost, "http://"+s.Address().String()+"/", nil, []byte("request"))
			if r.Malformed {
				assert.Assert(t, err != nil, "%d %q", status, body)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, status, r.Status)
			assert.Equal(t, string(body), r.Body)
		})
	}
}
