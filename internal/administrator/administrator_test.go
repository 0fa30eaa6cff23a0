package administrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const validSet = `[
{"Kind": "AvailabilityZone", "Name": "za", "Region": "ra", "State": "In"},
{"Kind": "Policy", "Name": "p"},
{"Kind": "Application", "Name": "app", "Routes": [{"Name": "find", "Kind": "Search"}], "DeadlineDefault": "130ms", "DeadlineMax": "2s", "Policy": "p"},
{"Kind": "Service", "Name": "app-0", "Application": "app", "Shard": 0},
{"Kind": "Version", "Name": "v1", "Application": "app"},
{"Kind": "Version", "Name": "v2", "Application": "app"},
{"Kind": "BackendServer", "Name": "b1", "Service": "app-0", "Version": "v1", "AvailabilityZone": "za", "Address": "127.0.0.1:1", "Slots": 1, "Connections": 1},
{"Kind": "BackendServer", "Name": "b2", "Service": "app-0", "Version": "v2", "AvailabilityZone": "za", "Address": "127.0.0.1:2", "Slots": 1, "Connections": 1},
{"Kind": "Move", "Name": "to-v2", "Application": "app", "From": "v1", "To": "v2", "Start": "2026-12-04T10:00:00Z", "FinishBy": "2026-12-04T11:00:00Z", "Steps": [100]}
]`

// store is a Store in memory. Get fails with ErrUnavailable while unavailable is set.
type store struct {
	storeclient.Store
	objects     map[string]storeclient.Object
	unavailable bool
}

func (s *store) Get(_ context.Context, kind, name string) (storeclient.Object, error) {
	o, ok := s.objects[kind+"/"+name]
	switch {
	case s.unavailable:
		return storeclient.Object{}, storeclient.ErrUnavailable
	case !ok:
		return storeclient.Object{}, storeclient.ErrNotFound
	default:
		return o, nil
	}
}

func (s *store) Create(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	o.Version = 1
	s.objects[o.Kind+"/"+o.Name] = o
	return o, nil
}

// peerClient is a Client through which only the VM at port 2 answers.
type peerClient struct{}

func (peerClient) Call(_ context.Context, addr netip.AddrPort, _ string, _, reply any) error {
	if addr.Port() != 2 {
		return errors.New("no answer")
	}
	reply.(*messenger.EventsReply).Events = []recorder.Event{
		{
			Stamp: recorder.Stamp{
				Wall: 1,
			},
			VM:   "b",
			Kind: "First",
		},
	}
	return nil
}

type server struct {
	url   string
	board *blackboard.Board
	store *store
}

func startServer(t *testing.T) *server {
	t.Helper()
	clock := timer.NewVirtual(time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC))
	s := &server{
		board: &blackboard.Board{},
		store: &store{
			objects: map[string]storeclient.Object{},
		},
	}
	rec := recorder.New("a", clock)
	rec.Record("runner", "Second", "x", "")
	a := administrator.New(administrator.Options{
		VMName: "a",
		Board:  s.board,
		Store:  s.store,
		Client: peerClient{},
		Publisher: publisher.New(publisher.Options{
			Board:    s.board,
			Store:    s.store,
			Timer:    timer.NewWall(),
			Recorder: rec,
			Logger:   logger.Discard(),
		}),
		Timer:    clock,
		Recorder: rec,
		Logger:   logger.Discard(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- a.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, a.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	s.url = "http://" + l.Addr().String()
	return s
}

// do sends a request, decodes the JSON body of the response into response and returns the HTTP status.
func (s *server) do(t *testing.T, method, path, body string, response any) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, s.url+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, response), "%s", data)
	return resp.StatusCode
}

// Guards against error responses that have no code, a wrong HTTP status or a body that is not JSON.
func TestErrorResponses(t *testing.T) {
	s := startServer(t)
	for request, code := range map[string]classifier.Code{
		"GET /v1/nothing ":                  classifier.NotFound,
		"GET /v1/status?Verbose=1 ":         classifier.BadRequest,
		"GET /v1/objects/Nothing ":          classifier.NotFound,
		"GET /v1/objects/Service/nothing ":  classifier.NotFound,
		"GET /v1/moves/nothing ":            classifier.NotFound,
		"GET /v1/timeline?Limit=0 ":         classifier.BadRequest,
		"GET /v1/timeline?Since=yesterday ": classifier.BadRequest,
		"POST /v1/apply?Base=x " + validSet: classifier.BadRequest,
		"POST /v1/apply ":                   classifier.BadRequest,
		"POST /v1/validate Kind: Nothing":   classifier.InvalidSet,
		"POST /v1/validate " + strings.Repeat(" ", administrator.MaxBodyBytes+1): classifier.BodyTooLarge,
		"POST /v1/apply?Base=9 " + validSet:                                      classifier.Conflict,
	} {
		parts := strings.SplitN(request, " ", 3)
		var f administrator.ErrorResponse
		assert.Equal(t, s.do(t, parts[0], parts[1], parts[2], &f), code.HTTPStatus(), parts[1])
		assert.Equal(t, f.Code, code, parts[1])
		assert.Equal(t, f.Name, code.String())
		assert.Assert(t, f.Message != "")
	}
	var f administrator.ErrorResponse
	assert.Equal(t, s.do(t, "GET", "/v1/apply", "", &f), http.StatusMethodNotAllowed)
	assert.Equal(t, f.Code, classifier.BadRequest)
}

// Guards against publishing a set that has faults or that is only to be validated, and against responses that differ from the
// published configuration.
func TestApplyAndRead(t *testing.T) {
	s := startServer(t)
	var f administrator.ErrorResponse
	assert.Equal(t, s.do(t, "POST", "/v1/apply", strings.Replace(validSet, `"Shard": 0`, `"Shard": 1`, 1), &f), 422)
	assert.DeepEqual(t, f.Faults, []administrator.Fault{
		{
			Object:  "Service/app-0",
			Field:   "Shard",
			Message: `the application "app" has no service for shard 0`,
		},
	})
	assert.Equal(t, len(s.store.objects), 0)

	var v administrator.ValidateResponse
	assert.Equal(t, s.do(t, "POST", "/v1/validate", validSet, &v), 200)
	assert.Equal(t, v.Objects, 9)
	assert.Equal(t, len(s.store.objects), 0)

	var a administrator.ApplyResponse
	assert.Equal(t, s.do(t, "POST", "/v1/apply", validSet, &a), 200)
	assert.Equal(t, a.Generation, uint64(1))
	assert.Equal(t, len(a.Objects), 9)

	objects, err := parser.Decode("set", []byte(validSet))
	assert.NilError(t, err)
	s.board.Config.Write(blackboard.NewConfig(1, objects))
	var o administrator.ObjectsResponse
	assert.Equal(t, s.do(t, "GET", "/v1/objects/BackendServer/b1", "", &o), 200)
	decoded, err := parser.Decode("answer", o.Objects)
	assert.NilError(t, err)
	assert.Assert(t, len(decoded) == 1 && parser.Equal(decoded[0], objects[6]))
	var st administrator.StatusResponse
	assert.Equal(t, s.do(t, "GET", "/v1/status", "", &st), 200)
	assert.Equal(t, st.Phase, blackboard.PhaseStarting)
	assert.Equal(t, st.Generation, uint64(1))
	assert.Equal(t, st.Replicas[0].State, "Unknown")

	s.store.unavailable = true
	assert.Equal(t, s.do(t, "POST", "/v1/apply", validSet, &f), 503)
	assert.Equal(t, f.Code, classifier.NotAccepted)
}

// Guards against reporting a move as final before its outcome is stored on the platform.
func TestMoveIsFinalWhenRecorded(t *testing.T) {
	s := startServer(t)
	objects, err := parser.Decode("set", []byte(validSet))
	assert.NilError(t, err)
	s.board.Config.Write(blackboard.NewConfig(1, objects))
	var m administrator.Move
	assert.Equal(t, s.do(t, "GET", "/v1/moves/to-v2", "", &m), 200)
	assert.Equal(t, m.Outcome, blackboard.MoveRunning)
	s.board.Moves.Write(&blackboard.Moves{
		ByApplication: map[string]blackboard.MoveState{
			"app": {
				Move:          objects[8].(parser.Move),
				SharePerMille: 1000,
				Outcome:       blackboard.MoveDone,
			},
		},
	})
	assert.Equal(t, s.do(t, "GET", "/v1/moves/to-v2", "", &m), 200)
	assert.Assert(t, m.Outcome == blackboard.MoveDone && !m.Recorded && m.SharePerMille == 1000)
	s.store.objects["MoveStatus/to-v2"] = storeclient.Object{
		Value: []byte(`{"Outcome": "TakenBack", "Reason": "Too many failures.", "Other": 1}`),
	}
	assert.Equal(t, s.do(t, "GET", "/v1/moves/to-v2", "", &m), 200)
	assert.Assert(t, m.Outcome == blackboard.MoveRolledBack && m.Recorded && m.Reason == "Too many failures.")
}

// Guards against a timeline that fails or appears complete when a VM does not answer, and against events in the wrong order.
func TestTimelineReportsMissingVMs(t *testing.T) {
	s := startServer(t)
	members := map[string]blackboard.Member{}
	for i, name := range []string{"a", "b", "c", "d"} {
		members[name] = blackboard.Member{
			Name:    name,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)),
			State:   blackboard.MemberAlive,
		}
	}
	gone := members["d"]
	gone.State = blackboard.MemberGone
	members["d"] = gone
	s.board.Members.Write(&blackboard.Members{
		Self:   "a",
		ByName: members,
	})
	var resp administrator.TimelineResponse
	assert.Equal(t, s.do(t, "GET", "/v1/timeline", "", &resp), 200)
	assert.DeepEqual(t, resp.Missing, []string{"c"})
	assert.Equal(t, len(resp.Events), 2)
	assert.Equal(t, resp.Events[0].Kind, "First")
	assert.Equal(t, resp.Events[1].Kind, "Second")
}

// Guards against accepting a new move with the name of an ended move, whose recorded outcome would end the new move at once.
func TestApplyRejectsNameOfEndedMove(t *testing.T) {
	s := startServer(t)
	s.store.objects["MoveStatus/to-v2"] = storeclient.Object{
		Value: []byte(`{"Outcome": "TakenBack"}`),
	}
	var f administrator.ErrorResponse
	assert.Equal(t, s.do(t, "POST", "/v1/apply", validSet, &f), 422, "%+v", f)
	assert.Equal(t, len(f.Faults), 1, "%+v", f)
	assert.Equal(t, f.Faults[0].Object, "Move/to-v2", "%+v", f)
}
