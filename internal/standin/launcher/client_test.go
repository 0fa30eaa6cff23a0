package launcher_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// Guards against HTTP clients that share a transport. When one cluster stopped and closed its idle connections, requests of
// another cluster failed with "CloseIdleConnections called".
func TestClientsDoNotShareConnections(t *testing.T) {
	t.Parallel()
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	running, stopped := launcher.NewClient(time.Second), launcher.NewClient(time.Second)
	defer running.CloseIdleConnections()
	call(t, running, s.URL)
	stopped.CloseIdleConnections()
	call(t, running, s.URL)
	assert.Equal(t, opened.Load(), int64(1))
}

func call(t *testing.T, c *http.Client, url string) {
	t.Helper()
	resp, err := c.Get(url)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}
