package responder

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/anvildyke/anvildyke/internal/timer"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// fakeVM implements Searcher, Claimer and messenger.Client with fixed results and keeps the last request. Call returns forwarded if it is
// set, with ID replaced in its body, and otherwise passes requests to peer. If block is set, Search closes started and then waits until
// block is closed.
type fakeVM struct {
	block         chan struct{}
	started       chan struct{}
	lastSearch    searcher.Request
	lastOperation claimer.Request
	peer          *RPCService
	forwarded     *messenger.QueryReply
}

func (v *fakeVM) Search(_ context.Context, req searcher.Request) searcher.Response {
	v.lastSearch = req
	if v.block != nil {
		close(v.started)
		<-v.block
	}
	return searcher.Response{
		RequestID: req.ID,
		Code:      classifier.Partial,
		Snapshot:  5,
		Coverage: searcher.Coverage{
			Answered: 1,
			Total:    2,
			Fraction: 0.5,
			Missing: []searcher.MissingShard{
				{
					Shard:  1,
					Code:   classifier.Timeout,
					Reason: "late",
				},
			},
		},
		Hits: []messenger.Hit{
			{
				ID:    "a\"b",
				Score: 1.5,
				Body:  []byte(`{"Echo": "` + string(req.Body) + `"}`),
			},
			{
				ID:   "c",
				Body: []byte("\"\xff\""),
			},
		},
	}
}

func (v *fakeVM) Run(_ context.Context, req claimer.Request) claimer.Outcome {
	v.lastOperation = req
	return claimer.Outcome{
		RequestID: req.ID,
		Code:      classifier.NoReplica,
		Body:      []byte("plain"),
	}
}

func (v *fakeVM) Call(_ context.Context, _ netip.AddrPort, method string, args, reply any) error {
	if v.forwarded != nil {
		*reply.(*messenger.QueryReply) = messenger.QueryReply{
			HTTPStatus: v.forwarded.HTTPStatus,
			Body:       bytes.ReplaceAll(v.forwarded.Body, []byte(`"ID"`), []byte(`"`+args.(*messenger.QueryRequest).RequestID+`"`)),
		}
		return nil
	}
	if v.peer == nil || method != messenger.MethodQuery {
		return classifier.Errorf(classifier.NotSent, "refused")
	}
	return v.peer.Query(args.(*messenger.QueryRequest), reply.(*messenger.QueryReply))
}

func testBoard(phase blackboard.Phase) *blackboard.Board {
	b := &blackboard.Board{}
	b.Lifecycle.Write(&blackboard.Lifecycle{
		Phase: phase,
	})
	set := parser.Set{
		parser.Application{
			Name: "app",
			Routes: []parser.Route{
				{
					Name: "find",
					Kind: parser.RouteSearch,
				},
				{
					Name: "hold",
					Kind: parser.RouteOperation,
				},
			},
			DeadlineDefault: time.Second,
			DeadlineMax:     2 * time.Second,
		},
	}
	members := &blackboard.Members{
		Self:   "a1",
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	for _, z := range []string{"a", "b"} {
		set = append(set, parser.AvailabilityZone{
			Name:  z,
			State: parser.ZoneInService,
		})
		m := blackboard.Member{
			Name:             z + "1",
			AvailabilityZone: z,
			State:            blackboard.MemberAlive,
		}
		members.ByName[m.Name] = m
		members.ByZone[z] = []blackboard.Member{m}
	}
	b.Config.Write(blackboard.NewConfig(1, set))
	b.Members.Write(members)
	return b
}

func newResponder(b *blackboard.Board, v *fakeVM) *Responder {
	clock := timer.NewWall()
	return New(Options{
		Board:      b,
		IndexCache: planner.NewIndexCache(b),
		Searcher:   v,
		Claimer:    v,
		Client:     v,
		Timer:      clock,
		Recorder:   recorder.New("a1", clock),
		Logger:     zerolog.Nop(),
	})
}

// serve starts the HTTP server of a Responder, which the test's cleanup stops, and returns its URL.
func serve(t *testing.T, r *Responder) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- r.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, r.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	return "http://" + l.Addr().String()
}

type response struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
	Snapshot  uint64
	Coverage  Coverage
	Hits      []struct {
		ID    string
		Score float64
		Body  json.RawMessage
	}
	NotRun bool
	Body   json.RawMessage

	status           int
	connectionClosed bool
}

func post(t *testing.T, url, body string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var a response
	assert.NilError(t, json.NewDecoder(bytes.NewReader(data)).Decode(&a), "%s", data)
	a.status, a.connectionClosed = resp.StatusCode, resp.Close
	return a
}

// Guards against responses that lack fields, contain a corrupted body or are not valid JSON, and against header values that are
// not passed on to the searcher or the claimer.
func TestSearchResponse(t *testing.T) {
	v := &fakeVM{}
	url := serve(t, newResponder(testBoard(blackboard.PhaseReady), v))
	a := post(t, url+"/v1/search/app/find", "q", HeaderLimit, "7", HeaderDeadline, "1500ms")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.CodeName, "Partial")
	assert.Equal(t, a.RequestID, v.lastSearch.ID)
	assert.Equal(t, a.Snapshot, uint64(5))
	assert.Equal(t, a.Coverage.Missing[0].Reason, "late")
	assert.Equal(t, a.Hits[0].ID, "a\"b")
	assert.Equal(t, string(a.Hits[0].Body), `{"Echo": "q"}`)
	assert.Equal(t, string(a.Hits[1].Body), `"\"\ufffd\""`)
	assert.Equal(t, v.lastSearch.Limit, 7)
	assert.Equal(t, v.lastSearch.Remaining, 1500*time.Millisecond)
	a = post(t, url+"/v1/operations/app/hold", "q", HeaderOperationID, "id", HeaderKey, "room")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, a.NotRun)
	assert.Equal(t, string(a.Body), `"plain"`)
	assert.Equal(t, v.lastOperation.Key, "room")
	assert.Equal(t, v.lastOperation.Remaining, time.Second)
}

// Guards against invalid requests that are executed or whose error message does not name the invalid part.
func TestBadInput(t *testing.T) {
	url := serve(t, newResponder(testBoard(blackboard.PhaseReady), &fakeVM{}))
	for _, c := range []string{
		"/v1/search/none/find|||UnknownApplication|none",
		"/v1/search/app/none|||UnknownRoute|none",
		"/v1/search/app/hold|||UnknownRoute|hold",
		"/v1/search/app/find|" + HeaderDeadline + "|1|BadDeadline|" + HeaderDeadline,
		"/v1/search/app/find|" + HeaderDeadline + "|3s|BadDeadline|" + HeaderDeadline,
		"/v1/search/app/find|" + HeaderLimit + "|1001|BadRequest|" + HeaderLimit,
		"/v1/search/app/find|" + HeaderLimit + "|" + strings.Repeat("1", MaxHeaderValueBytes+1) + "|BadRequest|" + HeaderLimit,
		"/v1/operations/app/hold|||BadOperationID|" + HeaderOperationID,
		"/v1/operations/app/hold|" + HeaderOperationID + "|x|BadRequest|" + HeaderKey,
		"/v2|||NotFound|path",
	} {
		f := strings.Split(c, "|")
		a := post(t, url+f[0], "q", cmp.Or(f[1], "X-Other"), f[2])
		assert.Equal(t, a.CodeName, f[3], c)
		assert.Assert(t, strings.Contains(a.Message, f[4]), a.Message)
		assert.Equal(t, a.status, a.Code.HTTPStatus())
	}
	a := post(t, url+"/v1/search/app/find", strings.Repeat("x", MaxBodyBytes+1))
	assert.Equal(t, a.CodeName, "BodyTooLarge")
}

// Guards against requests that run in an availability zone that is out of service, are forwarded twice or are rejected while the
// VM is draining.
func TestPhases(t *testing.T) {
	local, remote := &fakeVM{}, &fakeVM{}
	board := testBoard(blackboard.PhaseZoneOut)
	url := serve(t, newResponder(board, local))
	a := post(t, url+"/v1/search/app/find", "q")
	assert.Equal(t, a.CodeName, "ZoneOut")
	remoteBoard := testBoard(blackboard.PhaseReady)
	local.peer = newResponder(remoteBoard, remote).RPCService()
	a = post(t, url+"/v1/search/app/find", "q")
	assert.Equal(t, a.CodeName, "Partial")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, remote.lastSearch.ID, a.RequestID)
	assert.Equal(t, local.lastSearch.ID, "")
	third := &fakeVM{}
	remote.peer = newResponder(testBoard(blackboard.PhaseReady), third).RPCService()
	remoteBoard.Lifecycle.Write(&blackboard.Lifecycle{
		Phase: blackboard.PhaseZoneOut,
	})
	a = post(t, url+"/v1/operations/app/hold", "q", HeaderOperationID, "id", HeaderKey, "room")
	assert.Equal(t, a.CodeName, "ZoneOut")
	assert.Assert(t, a.NotRun)
	assert.Equal(t, third.lastOperation.ID, "")
	board.Lifecycle.Write(&blackboard.Lifecycle{
		Phase: blackboard.PhaseDraining,
	})
	a = post(t, url+"/v1/search/app/find", "q")
	assert.Equal(t, a.CodeName, "Partial")
	assert.Assert(t, a.connectionClosed)
	board.Lifecycle.Write(&blackboard.Lifecycle{})
	a = post(t, url+"/v1/search/app/find", "q")
	assert.Equal(t, a.CodeName, "NotReady")
}

// Guards against the reply of another VM that reaches the caller although it is no response to the forwarded request.
func TestForwardedReplies(t *testing.T) {
	v := &fakeVM{}
	url := serve(t, newResponder(testBoard(blackboard.PhaseZoneOut), v))
	file, err := os.ReadFile("testdata/forwarded.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(file)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		given, want, ok := strings.Cut(strings.TrimSpace(line), " -> ")
		assert.Assert(t, ok, line)
		status, body, _ := strings.Cut(given, " ")
		n, err := strconv.Atoi(status)
		assert.NilError(t, err, line)
		v.forwarded = &messenger.QueryReply{
			HTTPStatus: n,
			Body:       []byte(body),
		}
		search := post(t, url+"/v1/search/app/find", "q")
		operation := post(t, url+"/v1/operations/app/hold", "q", HeaderOperationID, "id", HeaderKey, "room")
		assert.Equal(t, fmt.Sprintf("%d %s, %d %s", search.status, search.CodeName, operation.status, operation.CodeName), want, line)
		assert.Assert(t, !operation.NotRun)
	}
}

// Guards against a shutdown that aborts running requests or waits for idle connections.
func TestShutdownFinishesRunningRequests(t *testing.T) {
	v := &fakeVM{
		block:   make(chan struct{}),
		started: make(chan struct{}),
	}
	r := newResponder(testBoard(blackboard.PhaseReady), v)
	url := serve(t, r)
	post(t, url+"/v2", "") // Leaves an idle connection in the client's pool.
	responses := make(chan response, 1)
	go func() {
		a := post(t, url+"/v1/search/app/find", "q")
		responses <- a
	}()
	<-v.started
	assert.Equal(t, r.ActiveRequests(), 1)
	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(context.Background()) }()
	close(v.block)
	assert.Equal(t, (<-responses).CodeName, "Partial")
	select {
	case err := <-stopped:
		assert.NilError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("Shutdown waited for idle connections")
	}
}
