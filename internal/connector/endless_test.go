package connector_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
)

// endlessResponse is one line of testdata/endless.txt.
type endlessResponse struct {
	name   string
	prefix string
	chunk  string
}

func readEndlessResponses(t *testing.T) []endlessResponse {
	t.Helper()
	data, err := os.ReadFile("testdata/endless.txt")
	assert.NilError(t, err)
	unescape := strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\s`, " ")
	var list []endlessResponse
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		assert.Equal(t, len(fields), 3, line)
		list = append(list, endlessResponse{
			name:   strings.TrimSpace(fields[0]),
			prefix: unescape.Replace(strings.TrimSpace(fields[1])),
			chunk:  unescape.Replace(strings.TrimSpace(fields[2])),
		})
	}
	return list
}

// send writes the response until the client closes the connection, and then closes stopped.
func (r endlessResponse) send(c net.Conn, id string, pause time.Duration, stopped chan<- struct{}) {
	defer close(stopped)
	fmt.Fprint(c, strings.ReplaceAll(r.prefix, "ID", id))
	data := []byte(r.chunk)
	if pause == 0 {
		data = []byte(strings.Repeat(r.chunk, 1+(16<<10)/len(r.chunk)))
	}
	for {
		if _, err := c.Write(data); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against responses without end that are read beyond the deadline of their request, that leave the connection open, or that
// are taken for an answer: fast and slow, on a new connection and on one in use again.
func TestEndlessResponseEndsWithItsRequest(t *testing.T) {
	for _, r := range readEndlessResponses(t) {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, pause %v, reused %v", r.name, pause, reused), func(t *testing.T) {
					t.Parallel()
					stopped := make(chan struct{})
					c := dial(t, serve(t, func(c net.Conn) {
						if reused {
							writeResponse(c, 200, readRequest(c), "", validBody)
						}
						r.send(c, readRequest(c), pause, stopped)
					}))
					if reused {
						assert.NilError(t, search(context.Background(), c, "q1"))
					}
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					defer cancel()
					code := classifier.CodeOf(search(ctx, c, "q2"))
					assert.Assert(t, code == classifier.BadAnswer || code == classifier.Timeout, "%s", code)
					assert.Assert(t, !c.Usable())
					select {
					case <-stopped:
					case <-time.After(10 * time.Second):
						t.Fatal("the connection is still open")
					}
				})
			}
		}
	}
}

// Many servers send bodies without end at the same time. Guards against more buffered bytes than MaxBufferedBytes, apart from those
// of responses of ordinary size, and against ordinary responses that fail meanwhile.
func TestEndlessResponsesShareBufferLimit(t *testing.T) {
	const servers = 40
	d := connector.NewHTTPDialer()
	r := endlessResponse{
		prefix: "HTTP/1.1 200 X\r\nRequest-Id: ID\r\n\r\n",
		chunk:  "x",
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	codes := make(chan classifier.Code, servers)
	for range servers {
		addr := serve(t, func(c net.Conn) {
			r.send(c, readRequest(c), 0, make(chan struct{}))
		})
		go func() {
			c, err := d.Dial(ctx, addr)
			if err == nil {
				err = search(ctx, c, "q1")
			}
			codes <- classifier.CodeOf(err)
		}()
	}
	good := serve(t, func(c net.Conn) {
		for id := readRequest(c); id != ""; id = readRequest(c) {
			writeResponse(c, 200, id, "", validBody)
		}
	})
	c, err := d.Dial(ctx, good)
	assert.NilError(t, err)
	for len(codes) < servers {
		assert.NilError(t, search(ctx, c, "q2"))
	}
	for range servers {
		code := <-codes
		assert.Assert(t, code == classifier.BadAnswer || code == classifier.Timeout, "%s", code)
	}
	most := d.MostBufferedBytes()
	assert.Assert(t, most > 0 && most <= connector.MaxBufferedBytes+servers*connector.GuaranteedBytes, "%d bytes", most)
}
