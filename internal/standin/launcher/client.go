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

// clientTimeoutMargin is the time beyond the request deadline after which the client gives up, so that a late answer is still
// received and measured.
const clientTimeoutMargin = 10 * time.Second

// Hit is a document in a search response.
type Hit struct {
	ID    string
	Score float64
	Body  json.RawMessage
}

// MissingShard is a shard that was not searched in full.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Response is the JSON answer of a VM to a search or an operation.
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
	// Body and NotRun are set for operations only.
	Body   json.RawMessage
	NotRun bool
	// Latency is the time from sending the request until the whole body has been read.
	Latency time.Duration `json:"-"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Query describes a search request.
type Query struct {
	Application string
	Route       string
	Body        string
	Limit       int
	Deadline    time.Duration
}

// Operation describes a non-idempotent request.
type Operation struct {
	Application string
	Route       string
	ID          string
	Key         string
	Body        string
	Deadline    time.Duration
}

// NewClient returns an HTTP client with its own transport. With a shared transport, closing the idle connections of one client
// would abort requests of the others.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{},
		Timeout:   timeout,
	}
}

// Caller sends requests to VMs as a caller does, over keep-alive connections.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller that keeps up to conns idle connections to each VM.
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

// Search sends a query to a VM. A response with an error code is not an error; a request without a decodable response is.
func (c *Caller) Search(v *VM, q Query) (Response, error) {
	target := fmt.Sprintf("http://%s/v1/search/%s/%s", v.Caller, q.Application, q.Route)
	headers := map[string]string{
		"Anvildyke-Limit": strconv.Itoa(max(q.Limit, 1)),
	}
	return c.send(target, q.Body, q.Deadline, headers)
}

// Operate sends an operation to a VM. Errors are as for Search.
func (c *Caller) Operate(v *VM, op Operation) (Response, error) {
	target := fmt.Sprintf("http://%s/v1/operations/%s/%s", v.Caller, op.Application, op.Route)
	headers := map[string]string{
		"Anvildyke-Operation-ID": op.ID,
		"Anvildyke-Key":          op.Key,
	}
	return c.send(target, op.Body, op.Deadline, headers)
}

func (c *Caller) send(target, body string, deadline time.Duration, headers map[string]string) (Response, error) {
	req, err := http.NewRequest(http.MethodPost, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, fmt.Errorf("creating a request: %w", err)
	}
	if deadline > 0 {
		req.Header.Set("Anvildyke-Deadline", deadline.String())
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	start := time.Now()
	client := *c.client
	client.Timeout = deadline + clientTimeoutMargin
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("sending a request: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("reading the response: %w", err)
	}
	r := Response{
		Latency: time.Since(start),
		Status:  resp.StatusCode,
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Response{}, fmt.Errorf("decoding the response %q: %w", data, err)
	}
	return r, nil
}

// Apply publishes a configuration set through a VM.
func (c *Cluster) Apply(v *VM, set parser.Set) error {
	return c.call(http.MethodPost, "http://"+v.Operator.String()+"/v1/apply", parser.EncodeYAML(set))
}

// ApplyAndWait publishes the cluster's set through its first VM and waits until every running VM is ready.
func (c *Cluster) ApplyAndWait(timeout time.Duration) error {
	if err := c.Apply(c.VMs()[0], c.Set); err != nil {
		return err
	}
	return c.WaitReady(timeout)
}

// ReadMoveState decodes the state of a move, as a VM reports it, into v.
func (c *Cluster) ReadMoveState(vm *VM, name string, v any) error {
	resp, err := c.client.Get("http://" + vm.Operator.String() + "/v1/moves/" + name)
	if err != nil {
		return fmt.Errorf("reading the state of a move: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("reading the state of a move: unexpected status %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
