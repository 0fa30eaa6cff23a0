package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a consumer got.
type answer struct {
	id     string
	sent   time.Time
	status int
	stamp  string
	body   string
	err    error
}

// get sends a request on a new connection.
func (d *deployment) get(g *gateway, path string) answer {
	a := answer{
		id:   fmt.Sprintf("%016x", d.requests.Add(1)),
		sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.front+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Request-Deadline", "3000")
	d.rec.add("consumer sends %s %s to %s", a.id, path, g.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		d.rec.add("consumer gets no answer to %s: %v", a.id, err)
		return a
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	body, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get("Server-Stamp"), strings.TrimSpace(string(body)), err
	d.rec.add("consumer gets %d %q for %s, stamp %q", a.status, a.body, a.id, a.stamp)
	return a
}
