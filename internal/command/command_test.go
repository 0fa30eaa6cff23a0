package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// fakeVM is an HTTP handler that returns the scripted responses of each path in turn and repeats the last one. It stores the last
// request and its body.
type fakeVM struct {
	mu          sync.Mutex
	responses   map[string][]string
	lastRequest *http.Request
	lastBody    string
}

func (v *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	v.lastRequest, v.lastBody = r, string(body)
	script := v.responses[r.URL.Path]
	if len(script) == 0 {
		w.WriteHeader(http.StatusNotFound)
		_, _ = fmt.Fprint(w, `{"Code": 106, "Name": "NotFound", "Message": "nothing"}`)
		return
	}
	if len(script) > 1 {
		v.responses[r.URL.Path] = script[1:]
	}
	status := http.StatusOK
	if strings.Contains(script[0], `"Faults"`) {
		status = http.StatusUnprocessableEntity
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, script[0])
}

// runCommand runs the command line against a VM and returns the exit code and the contents of the output and error streams. The
// virtual clock advances by 100 ms every millisecond, so that timeouts pass quickly.
func runCommand(t *testing.T, vm *fakeVM, in string, args ...string) (code int, out, errOut string) {
	t.Helper()
	s := httptest.NewServer(vm)
	defer s.Close()
	var stdout, stderr bytes.Buffer
	f := factory.New(strings.NewReader(in), &stdout, &stderr)
	f.Timer = timer.NewVirtual(time.Now())
	f.OperatorAddress = s.Listener.Addr().String()
	f.CallerAddress = f.OperatorAddress
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			f.Timer.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	})
	code = run(ctx, f, args, nil)
	cancel()
	wg.Wait()
	return code, stdout.String(), stderr.String()
}

// Guards against usage errors that scripts cannot distinguish from other failures by the exit code, and against invalid command
// lines that send a request to the server.
func TestUsageErrors(t *testing.T) {
	vm := &fakeVM{}
	for _, args := range []string{
		"", "nothing", "apply", "apply -f x extra", "get", "get a b c", "status -x", "query one", "query a b -limit -1",
		"operate a b -id 1 -key k", "operate a b -id 019aeb3c-5a00-7000-8000-000000000001", "move", "move watch",
		"status -operator nowhere", "-caller nowhere status", "move watch m -timeout 0s",
	} {
		code, _, errOut := runCommand(t, vm, "", strings.Fields(args)...)
		assert.Equal(t, code, factory.ExitUsage, args)
		assert.Assert(t, errOut != "", args)
	}
	assert.Assert(t, vm.lastRequest == nil)
	code, _, help := runCommand(t, vm, "", "move", "watch", "-h")
	assert.Equal(t, code, factory.ExitOK)
	assert.Assert(t, strings.Contains(help, "Examples:"), help)
	f := factory.New(nil, io.Discard, io.Discard)
	assert.Equal(t, run(t.Context(), f, []string{"status"}, []string{"ANVILDYKE_CLI_OPERATER=x"}), factory.ExitUsage)
}

// Guards against an invalid set that is reported without its faults or with exit code 1, and against faults that contain the
// server's name of the file, "body", instead of the name that the operator passed.
func TestApplyAndValidate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "set.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("Kind: X"), 0o600))
	vm := &fakeVM{
		responses: map[string][]string{
			"/v1/apply": {
				`{"Code": 400, "Name": "InvalidSet", "Message": "the set has 2 faults", "Faults": [{"File": "body", "Line": 1, "Field": "Kind", "Message": "unknown"}, {"Object": "Service/s", "Message": "bad"}]}`,
				`{"Generation": 7, "Objects": ["Service/s"]}`,
			},
		},
	}
	code, out, errOut := runCommand(t, vm, "", "apply", "-f", file)
	assert.Equal(t, code, factory.ExitInvalidSet)
	assert.Assert(t, strings.Contains(out, file+":1  Kind  unknown"), out)
	assert.Assert(t, strings.Contains(out, "Service/s"), out)
	assert.Equal(t, errOut, "the set has 2 faults (code 400, InvalidSet)\n")
	code, out, _ = runCommand(t, vm, "from the stream", "apply", "-f", "-", "-base", "6", "-json")
	assert.Equal(t, code, factory.ExitOK)
	assert.Equal(t, out, `{"Generation":7,"Unchanged":false,"Objects":["Service/s"]}`+"\n")
	assert.Equal(t, vm.lastRequest.URL.RawQuery, "Base=6")
	assert.Equal(t, vm.lastBody, "from the stream")
	code, _, errOut = runCommand(t, vm, "", "validate", "-f", file)
	assert.Equal(t, code, factory.ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "NotFound"))
}

// Guards against different outcomes of a move with the same exit code, against reporting an outcome that is not recorded yet, and
// against waiting beyond the timeout.
func TestMoveWatch(t *testing.T) {
	running := `{"Name": "m", "Outcome": "Running", "SharePerMille": 50}`
	unrecorded := `{"Name": "m", "Outcome": "Done"}`
	for want, last := range map[int]string{
		factory.ExitOK:             `{"Name": "m", "Outcome": "Done", "Recorded": true}`,
		factory.ExitRolledBack:     `{"Name": "m", "Outcome": "TakenBack", "Reason": "Too slow.", "Recorded": true}`,
		factory.ExitOutcomeUnknown: unrecorded,
	} {
		vm := &fakeVM{
			responses: map[string][]string{
				"/v1/moves/m": {running, running, unrecorded, last},
			},
		}
		code, _, errOut := runCommand(t, vm, "", "move", "watch", "m", "-timeout", "30s")
		assert.Equal(t, code, want, errOut)
	}
	code, _, errOut := runCommand(t, &fakeVM{}, "", "move", "watch", "m")
	assert.Equal(t, code, factory.ExitOutcomeUnknown)
	assert.Assert(t, strings.Contains(errOut, "the move was not found"), errOut)
}

// Guards against request headers, request bodies and results that are lost between the command line and the callers' API.
func TestCallerCommands(t *testing.T) {
	response := `{"RequestID": "r1", "Code": 1, "CodeName": "Partial", "Snapshot": 7, "Coverage": {"Answered": 1, "Of": 2, "Fraction": 0.5, "Missing": [{"Shard": 1, "Code": 301, "Reason": "Timeout"}]}, "Hits": [{"ID": "d", "Score": 2.5, "Body": "x"}]}`
	vm := &fakeVM{
		responses: map[string][]string{
			"/v1/search/app/find":     {response},
			"/v1/operations/app/hold": {`{"RequestID": "r2", "Code": 300, "CodeName": "OutcomeUnknown", "Message": "It may have run."}`},
		},
	}
	code, out, _ := runCommand(t, vm, "", "query", "app", "find", "-body", "a b", "-limit", "3", "-deadline", "130ms")
	assert.Equal(t, code, factory.ExitOK)
	for _, text := range []string{"Partial (code 1)", "1 of 2 shards (50.00%)", "shard 1: Timeout (code 301)", "2.5"} {
		assert.Assert(t, strings.Contains(out, text), out)
	}
	assert.Equal(t, vm.lastBody, "a b")
	assert.Equal(t, vm.lastRequest.Header.Get("Anvildyke-Deadline"), "130ms")
	assert.Equal(t, vm.lastRequest.Header.Get("Anvildyke-Limit"), "3")

	id := "019aeb3c-5a00-7000-8000-000000000001"
	code, _, errOut := runCommand(t, vm, "", "operate", "app", "hold", "-id", id, "-key", "k", "-body", "b")
	assert.Equal(t, code, factory.ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "It may have run."), errOut)
	assert.Equal(t, vm.lastRequest.Header.Get("Anvildyke-Operation-Id"), id)
	assert.Equal(t, vm.lastRequest.Header.Get("Anvildyke-Key"), "k")
}

// Guards against read-only commands that fail to print a response or that send incomplete query parameters.
func TestReadCommands(t *testing.T) {
	vm := &fakeVM{
		responses: map[string][]string{
			"/v1/objects/Service/s": {`{"Generation": 1, "Objects": [{"Kind": "Service", "Name": "s", "Shard": 0}]}`},
			"/v1/status":            {`{"VM": "a", "Phase": "Ready", "Generation": 3, "Members": [{"Name": "a"}], "Replicas": [{"Name": "b"}], "Moves": [{"Name": "m", "SharePerMille": 125}]}`},
			"/v1/timeline":          {`{"Events": [{"Time": "2026-12-04T10:00:00.000001Z", "Kind": "Hedge"}], "Missing": ["c"]}`},
		},
	}
	code, out, _ := runCommand(t, vm, "", "get", "Service", "s")
	assert.Equal(t, code, factory.ExitOK)
	assert.Equal(t, out, "Kind: Service\nName: s\nShard: 0\n")
	_, out, _ = runCommand(t, vm, "", "status")
	assert.Assert(t, strings.Contains(out, "VM a is Ready with generation 3.") && strings.Contains(out, "12.5%"), out)
	_, out, errOut := runCommand(t, vm, "", "timeline", "-part", "searcher", "-since", "10m", "-limit", "5")
	assert.Assert(t, strings.Contains(out, "10:00:00.000001Z"), out)
	assert.Equal(t, errOut, "These VMs did not answer: c.\n")
	assert.Equal(t, vm.lastRequest.URL.RawQuery, "Limit=5&Part=searcher&Since=10m0s")
}
