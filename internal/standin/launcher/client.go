package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// callSlack is how much longer than the deadline a caller waits.
const callSlack = 10 * time.Second

// Hit is one document of an answer.
type Hit struct {
	ID    string
	Score float64
	Body  json.RawMessage
}

// MissingShard is a shard without a full answer.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Response is what a caller gets.
type Response struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
	Snapshot  uint64
	Coverage  struct {
		Answered int
		Of       int
		Fraction float64
		Missing  []MissingShard
	}
	Hits []Hit
	// Body and NotRun belong to operations.
	Body   json.RawMessage
	NotRun bool
	// Latency is what the caller saw.
	Latency time.Duration `json:"-"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Query is one search of a caller.
type Query struct {
	Application string
	Route       string
	Body        string
	Limit       int
	Deadline    time.Duration
}

// Operation is one non-idempotent request of a caller.
type Operation struct {
	Application string
	Route       string
	ID          string
	Key         string
	Body        string
	Deadline    time.Duration
}

// NewClient returns an HTTP client with connections of its own. Clients that share a transport break off each other's requests when
// one of them closes its idle connections.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{},
		Timeout:   timeout,
	}
}

// Caller sends requests as a caller does, over kept-alive connections.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that keeps up to conns idle connections for each VM.
func NewCaller(conns int) *Caller {
	return &Caller{
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: conns,
				DisableCompression:  true,
			},
		},
	}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Search sends a query to a VM.
func (c *Caller) Search(v *VM, q Query) (Response, error) {
	target := fmt.Sprintf("http://%s/v1/search/%s/%s", v.Caller, q.Application, q.Route)
	headers := map[string]string{
		"Anvildyke-Limit": strconv.Itoa(max(q.Limit, 1)),
	}
	return c.send(target, q.Body, q.Deadline, headers)
}

// Operate sends an operation to a VM.
func (c *Caller) Operate(v *VM, o Operation) (Response, error) {
	target := fmt.Sprintf("http://%s/v1/operations/%s/%s", v.Caller, o.Application, o.Route)
	headers := map[string]string{
		"Anvildyke-Operation-ID": o.ID,
		"Anvildyke-Key":          o.Key,
	}
	return c.send(target, o.Body, o.Deadline, headers)
}

func (c *Caller) send(target, body string, deadline time.Duration, headers map[string]string) (Response, error) {
	req, err := http.NewRequest(http.MethodPost, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, fmt.Errorf("making a request: %w", err)
	}
	if deadline > 0 {
		req.Header.Set("Anvildyke-Deadline", deadline.String())
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	start := time.Now()
	client := *c.client
	client.Timeout = deadline + callSlack
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("sending a request: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("reading an answer: %w", err)
	}
	a := Response{
		Latency: time.Since(start),
		Status:  resp.StatusCode,
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return Response{}, fmt.Errorf("decoding the answer %q: %w", data, err)
	}
	return a, nil
}

// Apply publishes the set through a VM.
func (c *Cluster) Apply(v *VM, set parser.Set) error {
	return c.call(http.MethodPost, "http://"+v.Operator.String()+"/v1/apply", parser.EncodeYAML(set))
}

// ApplyAndWait applies the set of the cluster and waits until every running VM is ready.
func (c *Cluster) ApplyAndWait(limit time.Duration) error {
	if err := c.Apply(c.VMs()[0], c.Set); err != nil {
		return err
	}
	return c.WaitReady(limit)
}

// ReadMoveState reads the state of a move at a VM into v.
func (c *Cluster) ReadMoveState(vm *VM, name string, v any) error {
	resp, err := c.client.Get("http://" + vm.Operator.String() + "/v1/moves/" + name)
	if err != nil {
		return fmt.Errorf("reading a move: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("reading a move: %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
