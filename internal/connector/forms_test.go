package connector_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/standin/replayer"
)

// exchange sends a request with the method to the address and returns the response and whether the connection may be used again.
func exchange(t *testing.T, s *replayer.Server, method string) (*fasthttp.Response, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := connector.NewHTTPDialer().DialHTTP(ctx, s.Address())
	assert.NilError(t, err)
	defer c.Close()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://backend.example/")
	req.Header.SetMethod(method)
	err = c.Exchange(ctx, req, resp, nil)
	return resp, c.Usable(), err
}

// Guards against bytes that are taken for a response although they are none, against good responses in an unusual form that are
// rejected, and against connections that are used again after a response which does not allow it.
func TestResponseForms(t *testing.T) {
	responses, err := replayer.Responses()
	assert.NilError(t, err)
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			s, err := replayer.Serve(r, "")
			assert.NilError(t, err)
			defer s.Close()
			resp, usable, err := exchange(t, s, fasthttp.MethodGet)
			if r.Malformed {
				code := classifier.CodeOf(err)
				assert.Assert(t, code == classifier.BadAnswer || r.Closes && code == classifier.ConnectionReset, "%v", err)
				assert.Assert(t, !usable)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode(), r.Status)
			assert.Equal(t, string(resp.Body()), r.Body)
			assert.Equal(t, usable, r.Reusable)
			if name, value, ok := strings.Cut(r.Field, ":"); ok {
				assert.Equal(t, string(resp.Header.Peek(name)), strings.TrimSpace(value))
			}
		})
	}
}

// Guards against a response to HEAD that is waited for because it states the length of a body which it does not have.
func TestResponseToHeadHasNoBody(t *testing.T) {
	for _, fields := range []string{"Content-Length: 5", "Transfer-Encoding: chunked"} {
		s, err := replayer.Serve(replayer.Response{
			Bytes: "HTTP/1.1 200 OK\r\n<F>\r\n",
		}, fields)
		assert.NilError(t, err)
		defer s.Close()
		resp, _, err := exchange(t, s, fasthttp.MethodHead)
		assert.NilError(t, err, fields)
		assert.Equal(t, resp.StatusCode(), fasthttp.StatusOK)
		assert.Equal(t, string(resp.Body()), "")
	}
}
