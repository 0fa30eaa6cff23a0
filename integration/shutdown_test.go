package integration_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	stopTimeout = 25 * time.Second
	// settleTime lets a new VM take its replicas back after a replacement.
	settleTime = 700 * time.Millisecond
)

func shutdownSpec() deploymentSpec {
	s := smallSpec()
	s.shards = 4
	s.backendArgs = []string{"-service-time=4ms"}
	return s
}

// stopTwice sends SIGTERM twice and returns the exit code.
func stopTwice(v *launcher.VM) (int, error) {
	if err := v.Signal(syscall.SIGTERM); err != nil {
		return -1, err
	}
	time.Sleep(100 * time.Millisecond)
	return v.Terminate(stopTimeout)
}

// Guards against planned stops that interrupt requests, answer them with an error or reduce coverage; against a second SIGTERM
// that ends the process immediately; and against a wrong exit code. Every entry VM is replaced in turn.
func TestReplacingEveryVMCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, shutdownSpec())
	tr := d.startTraffic(callers, 200, route, otherRoute)
	time.Sleep(500 * time.Millisecond)
	for _, v := range d.VMs() {
		code, err := stopTwice(v)
		assert.NilError(t, err)
		assert.Equal(t, code, 0, "exit code of %s", v.Name)
		assert.NilError(t, d.RestartVM(v.Name))
		d.await(v.Name+" is ready again", func() bool { return d.Ready(v) })
		time.Sleep(settleTime)
	}
	tr.stop()
	all := tr.between(time.Time{}, time.Now())
	unanswered, partial := count(all, queryRecord.failed), 0
	for _, rec := range all {
		if !rec.failed() && rec.degraded() {
			partial++
		}
	}
	t.Logf("%d requests, %d not answered, %d answered without full coverage", len(all), unanswered, partial)
	checkResponses(t, all)
	assert.Assert(t, len(all) > 1000)
	assert.Equal(t, unanswered, 0)
	assert.Equal(t, partial, 0)
}

// Guards against a stop that does not wait for slow requests: those of the VM's own callers and those that its replicas run for
// other entry VMs. Hedges and retries are disabled because they would hide a lost request.
func TestSlowQueryOutlivesTheStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, shutdownSpec())
	set := slices.Clone(d.Set)
	for i, o := range set {
		if p, ok := o.(parser.Policy); ok {
			p.HedgePercent, p.RetryPercent = 0, 0
			set[i] = p
		}
	}
	assert.NilError(t, d.Apply(d.VMs()[0], set))
	d.await("every VM has installed generation 2", func() bool {
		return !slices.ContainsFunc(d.VMs(), func(v *launcher.VM) bool {
			s, ok := d.status(v)
			return !ok || s.Generation != 2
		})
	})
	for _, b := range d.Backends() {
		assert.NilError(t, d.SetSwitches(b, "ServiceTime=2s"))
	}
	list := d.VMs()
	// The first VM to stop runs only sub-requests for the other VM of its zone and for a VM of another zone; the second one runs a
	// request of its own caller.
	d.checkSlowQueries(list[4], list[5], list[2])
	d.checkSlowQueries(list[0], list[0])
}

// checkSlowQueries stops a VM while queries are in flight at the entry VMs and checks that they are answered with full coverage.
func (d *deployment) checkSlowQueries(stopping *launcher.VM, entries ...*launcher.VM) {
	d.t.Helper()
	results := make(chan queryRecord, len(entries))
	for _, entry := range entries {
		q := d.query()
		q.Deadline = 5 * time.Second
		go func() {
			resp, err := d.caller.Search(entry, q)
			results <- queryRecord{
				vm:       entry.Name,
				query:    q,
				response: resp,
				err:      err,
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	code, err := stopTwice(stopping)
	assert.NilError(d.t, err)
	assert.Equal(d.t, code, 0)
	for range entries {
		rec := <-results
		assert.NilError(d.t, rec.err)
		assert.NilError(d.t, checkResponse(rec.query, rec.response))
		d.t.Logf("%s stopped, %s: %s after %s", stopping.Name, rec.vm, rec.response.CodeName, rec.response.Latency)
		assert.Equal(d.t, rec.response.Coverage.Fraction, 1.0, "%+v", rec.response.Coverage)
	}
}
