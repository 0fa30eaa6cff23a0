package integration_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
	"github.com/anvildyke/anvildyke/internal/standin/proxy"
)

const (
	operationSeed = 20
	// operationBody is large enough to need several writes, so that a connection can break in the middle of a request.
	operationBody = 48 << 10
	// backendZone is the network zone of the proxies in front of the backend servers. Replica owners connect to them from addresses
	// that belong to no zone.
	backendZone = "backends"
)

// attempt is one transmission of an operation. err is set if the connection to the entry VM broke, so that the outcome is
// unknown.
type attempt struct {
	vm       string
	response launcher.Response
	err      error
}

// sentOperation is an operation with all attempts to run it.
type sentOperation struct {
	launcher.Operation
	mu       sync.Mutex
	attempts []attempt
}

// operations is a deployment whose backend servers are reached through proxies and record the operations they run in a shared
// journal.
type operations struct {
	*deployment
	journal string
	proxies []*proxy.Proxy
	// inFlight contains the operations sent by restartVMWithOperationsInFlight.
	inFlight []*sentOperation
}

func deployOperations(t *testing.T, backendArgs ...string) *operations {
	t.Helper()
	o := &operations{
		journal: filepath.Join(t.TempDir(), "journal"),
	}
	s := smallSpec()
	s.unpublished = true
	s.backendArgs = append([]string{"-journal=" + o.journal}, backendArgs...)
	o.deployment = deploy(t, s)
	o.Network.SetLatency("", backendZone, 2*time.Millisecond)
	for i, object := range o.Set {
		server, ok := object.(parser.BackendServer)
		if !ok {
			continue
		}
		p, err := o.Network.StartProxy(backendZone, server.Address)
		assert.NilError(t, err)
		server.Address = p.Addr()
		o.Set[i] = server
		o.proxies = append(o.proxies, p)
	}
	assert.NilError(t, o.ApplyAndWait(waitTimeout))
	o.awaitFullCoverage()
	return o
}

// runs returns how often each operation ran, by operation ID, on any backend server, including servers that have exited.
func (o *operations) runs() map[string]int {
	o.t.Helper()
	o.await("no backend server has waiting or running requests", func() bool {
		for _, b := range o.Backends() {
			var c backend.Counters
			if o.Counters(b.ControlAddress, &c) != nil || c.Present > 0 {
				return false
			}
		}
		return true
	})
	data, err := os.ReadFile(o.journal)
	if !os.IsNotExist(err) {
		assert.NilError(o.t, err)
	}
	runs := map[string]int{}
	for _, id := range strings.Fields(string(data)) {
		runs[id]++
	}
	return runs
}

func (o *operations) operation(id string, deadline time.Duration) *sentOperation {
	n := o.sequence.Add(1)
	return &sentOperation{
		Operation: launcher.Operation{
			Application: application,
			Route:       "handover",
			ID:          id,
			Key:         fmt.Sprintf("bear-%d", n),
			Body:        fmt.Sprintf("to Ana %d ", n) + strings.Repeat("x", operationBody),
			Deadline:    deadline,
		},
	}
}

func newID(t *testing.T, rng *rand.ChaCha8) string {
	id, err := uuid.NewV7FromReader(rng)
	assert.Check(t, err)
	return id.String()
}

// idAt returns a UUIDv7 with the given timestamp.
func idAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func (o *operations) send(s *sentOperation, v *launcher.VM) launcher.Response {
	resp, err := o.caller.Operate(v, s.Operation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt{
		vm:       v.Caller.String(),
		response: resp,
		err:      err,
	})
	return resp
}

// sendConcurrently sends an operation through several VMs at the same time.
func (o *operations) sendConcurrently(s *sentOperation, vms []*launcher.VM) {
	var wg sync.WaitGroup
	for _, v := range vms {
		wg.Go(func() { o.send(s, v) })
	}
	wg.Wait()
}

// check verifies that the responses are consistent with the number of runs.
func (s *sentOperation) check(runs int) error {
	allNotRun := true
	for _, attempt := range s.attempts {
		if attempt.err == nil && attempt.response.Code == classifier.OK && runs != 1 {
			return fmt.Errorf("operation %s was answered OK by %s but ran %d times", s.ID, attempt.vm, runs)
		}
		if attempt.err == nil && attempt.response.NotRun != attempt.response.Code.NotRun() {
			return fmt.Errorf("the response %s from %s has NotRun=%t", attempt.response.CodeName, attempt.vm, attempt.response.NotRun)
		}
		allNotRun = allNotRun && attempt.err == nil && attempt.response.NotRun
	}
	switch {
	case runs > 1:
		return fmt.Errorf("operation %s ran %d times; result codes: %s", s.ID, runs, s.codes())
	case allNotRun && runs > 0:
		return fmt.Errorf("operation %s ran, but every response reports that it did not: %s", s.ID, s.codes())
	default:
		return nil
	}
}

func (s *sentOperation) codes() string {
	var names []string
	for _, attempt := range s.attempts {
		if attempt.err != nil {
			names = append(names, attempt.vm+":no response")
			continue
		}
		names = append(names, attempt.vm+":"+attempt.response.CodeName)
	}
	return strings.Join(names, " ")
}

// Guards against a valid operation that fails, or a resend with a different outcome, in a deployment without faults.
func TestOperationsSucceedInHealthyDeployment(t *testing.T) {
	t.Parallel()
	o := deployOperations(t)
	rng := rand.NewChaCha8([32]byte{operationSeed})
	vms := o.VMs()
	var sent []*sentOperation
	for n := range 30 {
		s := o.operation(newID(t, rng), 3*time.Second)
		sent = append(sent, s)
		for i := range vms {
			resp := o.send(s, vms[(n+i)%len(vms)])
			assert.Equal(t, resp.Code, classifier.OK, resp.Message)
			assert.Equal(t, string(resp.Body), fmt.Sprintf(`{"OperationID":%q,"Runs":1}`, s.ID))
		}
	}
	runs := o.runs()
	for _, s := range sent {
		assert.Check(t, s.check(runs[s.ID]))
	}
}

// Guards against an operation that runs although the platform could not store its claim, and against one that runs although its
// claim may already have expired.
func TestOperationsWithoutClaimAreNotRun(t *testing.T) {
	t.Parallel()
	o := deployOperations(t)
	rng := rand.NewChaCha8([32]byte{operationSeed})
	vms := o.VMs()
	assert.NilError(t, o.SetPlatformSwitches("Outage=true"))
	var sent []*sentOperation
	for n := range 12 {
		s := o.operation(newID(t, rng), 3*time.Second)
		sent = append(sent, s)
		resp := o.send(s, vms[n%len(vms)])
		assert.Equal(t, resp.Code, classifier.PlatformUnavailable, resp.Message)
		assert.Assert(t, resp.NotRun)
	}
	for _, v := range vms {
		old := o.operation(idAt(time.Now().Add(-claimer.ClaimRetention-time.Minute)), time.Second)
		future := o.operation(idAt(time.Now().Add(claimer.MaxClockSkew+time.Minute)), time.Second)
		for _, outage := range []string{"true", "false"} {
			assert.NilError(t, o.SetPlatformSwitches("Outage="+outage))
			resp := o.send(old, v)
			assert.Equal(t, resp.Code, classifier.OutcomeUnknown, resp.Message)
			assert.Assert(t, !resp.NotRun)
			assert.Equal(t, o.send(future, v).Code, classifier.BadOperationID)
		}
		sent = append(sent, old, future)
	}
	assert.Equal(t, len(o.runs()), 0)
	for n, s := range sent[:12] {
		resp := o.send(s, vms[(n+1)%len(vms)])
		assert.Equal(t, resp.Code, classifier.OK, "resend after the outage: %s", resp.Message)
	}
	runs := o.runs()
	assert.Equal(t, len(runs), 12)
	for _, s := range sent {
		assert.Check(t, s.check(runs[s.ID]))
	}
}

// Guards against a claim with an unknown result after the platform performed the write but did not respond: the VM must determine
// by the claim's token whether it holds the claim.
func TestLostClaimResponses(t *testing.T) {
	t.Parallel()
	o := deployOperations(t)
	rng := rand.NewChaCha8([32]byte{operationSeed})
	vms := o.VMs()
	var sent []*sentOperation
	ok := 0
	for range 40 {
		assert.NilError(t, o.SetPlatformSwitches("LoseAnswers=1"))
		s := o.operation(newID(t, rng), 3*time.Second)
		sent = append(sent, s)
		o.sendConcurrently(s, vms[:3])
		if resp := o.send(s, vms[4]); resp.Code == classifier.OK {
			ok++
		}
	}
	runs := o.runs()
	for _, s := range sent {
		assert.Check(t, s.check(runs[s.ID]))
	}
	// Most claims must be resolved. The lost response may belong to another write, or two attempts may race for the claim record.
	assert.Assert(t, ok > len(sent)/2, "%d of %d operations were finally answered OK", ok, len(sent))
}

// Guards against an operation that runs twice, runs although every response reports that it did not, or is answered OK without a
// run, under the faults of injectFaults.
func TestOperationsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	o := deployOperations(t, "-service-time=20ms")
	end := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent []*sentOperation
	for n := range 20 {
		c := &operationCaller{
			operations: o,
			rng:        rand.NewChaCha8([32]byte{operationSeed, byte(n)}),
		}
		wg.Go(func() {
			list := c.run(end)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, list...)
		})
	}
	o.injectFaults(rand.New(rand.NewPCG(operationSeed, 1)))
	close(end)
	wg.Wait()
	o.awaitFullCoverage()
	sent = append(sent, o.inFlight...)
	vms := o.VMs()
	for n, s := range sent {
		o.send(s, vms[n%len(vms)])
	}
	o.checkOutcomes(sent)
}

func (o *operations) checkOutcomes(sent []*sentOperation) {
	o.t.Helper()
	runs := o.runs()
	counts := map[string]int{}
	var operationsOK, notRun, noResponse int
	for _, s := range sent {
		assert.Check(o.t, s.check(runs[s.ID]))
		isOK := false
		for _, attempt := range s.attempts {
			counts[attempt.response.CodeName]++
			switch {
			case attempt.err != nil:
				noResponse++
			case attempt.response.NotRun:
				notRun++
			default:
				isOK = isOK || attempt.response.Code == classifier.OK
			}
		}
		if isOK {
			operationsOK++
		}
	}
	o.t.Logf("%d operations, %d ran, %d answered OK; responses by result code (no response under the empty code): %v", len(sent), len(runs), operationsOK, counts)
	// Without responses of each kind the test would not exercise the guarantee.
	assert.Check(o.t, operationsOK > len(sent)/4)
	assert.Check(o.t, notRun > 0)
	assert.Check(o.t, counts[classifier.OutcomeUnknown.String()] > 0)
	assert.Check(o.t, noResponse > 0)
}

// operationCaller sends operations sequentially and resends each of them.
type operationCaller struct {
	*operations
	rng *rand.ChaCha8
}

func (c *operationCaller) run(end chan struct{}) []*sentOperation {
	const (
		maxPause = 500 * time.Millisecond
		deadline = 700 * time.Millisecond
	)
	rng := rand.New(c.rng)
	var list []*sentOperation
	for {
		select {
		case <-end:
			return list
		default:
		}
		vms := c.VMs()
		rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		s := c.operation(newID(c.t, c.rng), deadline)
		list = append(list, s)
		c.sendConcurrently(s, vms[:1+rng.IntN(3)])
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
		c.send(s, vms[4])
		c.send(s, vms[5])
	}
}

// injectFaults injects every fault twice, in random order.
func (o *operations) injectFaults(rng *rand.Rand) {
	backends, vms := o.Backends(), o.VMs()
	must := func(err error) { assert.Check(o.t, err) }
	list := []func(){
		func() { must(o.SetPlatformSwitches("LoseAnswers=8")) },
		func() { o.setPlatformSwitchesFor("Outage=true", "Outage=false", 400*time.Millisecond) },
		func() { o.setPlatformSwitchesFor("Slow=300ms", "Slow=0s", 500*time.Millisecond) },
		func() {
			for range 4 {
				must(o.SetSwitches(backends[rng.IntN(len(backends))], "Reset=2"))
			}
		},
		func() {
			b := backends[rng.IntN(len(backends))]
			must(o.SetSwitches(b, "Frozen=true"))
			time.Sleep(800 * time.Millisecond)
			must(o.SetSwitches(b, "Frozen=false"))
		},
		func() { must(o.RestartBackend(backends[rng.IntN(len(backends))].Server.Name)) },
		func() {
			for range 40 {
				o.proxies[rng.IntN(len(o.proxies))].ResetConnections()
				time.Sleep(10 * time.Millisecond)
			}
		},
		func() {
			for range 20 {
				vms[rng.IntN(len(vms))].Peer.ResetConnections()
				time.Sleep(10 * time.Millisecond)
			}
		},
		func() {
			v := vms[rng.IntN(len(vms))]
			must(v.Pause())
			time.Sleep(time.Second)
			must(v.Resume())
		},
		func() { o.restartVMWithOperationsInFlight(vms[rng.IntN(len(vms))]) },
	}
	for range 2 {
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, fault := range list {
			fault()
			time.Sleep(150 * time.Millisecond)
		}
	}
}

// restartVMWithOperationsInFlight restarts a VM while it waits for the claims of several operations.
func (o *operations) restartVMWithOperationsInFlight(v *launcher.VM) {
	const (
		inFlight = 6
		slow     = 500 * time.Millisecond
	)
	assert.Check(o.t, o.SetPlatformSwitches("Slow="+slow.String()))
	rng := rand.NewChaCha8([32]byte{operationSeed, 255, byte(len(o.inFlight))})
	var wg sync.WaitGroup
	for range inFlight {
		s := o.operation(newID(o.t, rng), 3*time.Second)
		o.inFlight = append(o.inFlight, s)
		wg.Go(func() { o.send(s, v) })
	}
	time.Sleep(slow / 2)
	assert.Check(o.t, o.RestartVM(v.Name))
	wg.Wait()
	assert.Check(o.t, o.SetPlatformSwitches("Slow=0s"))
}

func (o *operations) setPlatformSwitchesFor(on, off string, d time.Duration) {
	assert.Check(o.t, o.SetPlatformSwitches(on))
	time.Sleep(d)
	assert.Check(o.t, o.SetPlatformSwitches(off))
}
