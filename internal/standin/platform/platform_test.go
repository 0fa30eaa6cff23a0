package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/standin/platform"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// These tests run the platform client against the stand-in. They guard against a conditional write that ignores its condition, a
// write that is sent twice, an error that reports a definite result for a write whose result is unknown, and switches of the
// stand-in that have no effect.

func startPlatform(t *testing.T) (*platform.Server, *storeclient.HTTPStore) {
	t.Helper()
	s, err := platform.Start(platform.Config{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return s, storeclient.NewHTTPStore(s.Addr(), netip.Addr{}, 5*time.Second)
}

func callControl(t *testing.T, s *platform.Server, method, path, body string) {
	t.Helper()
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", s.Addr(), path), bytes.NewBufferString(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func object(name, value string, version uint64) storeclient.Object {
	return storeclient.Object{
		Kind:    "Claim",
		Name:    name,
		Version: version,
		Value:   []byte(value),
	}
}

func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	_, c := startPlatform(t)
	_, err := c.Get(ctx, "Claim", "a/b ?&")
	assert.ErrorIs(t, err, storeclient.ErrNotFound)
	first, err := c.Create(ctx, object("a/b ?&", "one", 0))
	assert.NilError(t, err)
	_, err = c.Create(ctx, object("a/b ?&", "two", 0))
	assert.ErrorIs(t, err, storeclient.ErrExists)
	second, err := c.Update(ctx, object("a/b ?&", "two", first.Version))
	assert.NilError(t, err)
	assert.Assert(t, second.Version > first.Version)
	_, err = c.Update(ctx, object("a/b ?&", "three", first.Version))
	assert.ErrorIs(t, err, storeclient.ErrConflict)
	_, err = c.Update(ctx, object("x", "", 1))
	assert.ErrorIs(t, err, storeclient.ErrNotFound)
	got, err := c.Get(ctx, "Claim", "a/b ?&")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	list, err := c.List(ctx, "Claim")
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []storeclient.Object{second})
	assert.ErrorIs(t, c.Delete(ctx, first), storeclient.ErrConflict)
	assert.NilError(t, c.Delete(ctx, second))
	assert.ErrorIs(t, c.Delete(ctx, second), storeclient.ErrNotFound)
}

func TestValueLimit(t *testing.T) {
	_, c := startPlatform(t)
	o := object("a", "", 0)
	o.Value = make([]byte, storeclient.MaxValueBytes+1)
	_, err := c.Create(context.Background(), o)
	assert.ErrorIs(t, err, storeclient.ErrTooLarge)
	o.Value = o.Value[:storeclient.MaxValueBytes]
	_, err = c.Create(context.Background(), o)
	assert.NilError(t, err)
}

func TestWatchReturnsWhenAnObjectIsWritten(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	list, err := c.Watch(ctx, "Claim", 0, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	done := make(chan []storeclient.Object, 1)
	go func() {
		list, _ := c.Watch(ctx, "Claim", 0, time.Minute)
		done <- list
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Counters().WaitingWatches == 1 {
			return poll.Success()
		}
		return poll.Continue("the watch does not wait yet")
	})
	_, err = c.Create(ctx, storeclient.Object{
		Kind: "Other",
		Name: "a",
	})
	assert.NilError(t, err)
	o, err := c.Create(ctx, object("a", "one", 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, <-done, []storeclient.Object{o})
	cancelled, cancel := context.WithCancel(ctx)
	go cancel()
	_, err = c.Watch(cancelled, "Claim", o.Version, time.Minute)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestWriteWithLostAnswerIsAppliedOnce(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	o, err := c.Create(ctx, object("a", "one", 0))
	assert.NilError(t, err)
	callControl(t, s, http.MethodPost, "/switch?LoseAnswers=1", "")
	_, err = c.Update(ctx, object("a", "two", o.Version))
	assert.ErrorIs(t, err, storeclient.ErrUnavailable)
	assert.Equal(t, s.Counters().Writes, 2)
	got, err := c.Get(ctx, "Claim", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "two")
}

func TestOutageAndStaleReads(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	o, err := c.Create(ctx, object("a", "one", 0))
	assert.NilError(t, err)
	callControl(t, s, http.MethodPost, "/switch?StaleReads=true&Slow=1ms", "")
	_, err = c.Update(ctx, object("a", "two", o.Version))
	assert.NilError(t, err)
	got, err := c.Get(ctx, "Claim", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "one")
	callControl(t, s, http.MethodPost, "/switch?StaleReads=false&Outage=true", "")
	_, err = c.Get(ctx, "Claim", "a")
	assert.ErrorIs(t, err, storeclient.ErrUnavailable)
	_, err = c.Watch(ctx, "Claim", 0, time.Minute)
	assert.ErrorIs(t, err, storeclient.ErrUnavailable)
	callControl(t, s, http.MethodPost, "/switch?Outage=false", "")
	got, err = c.Get(ctx, "Claim", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "two")
}

func TestVMListChangesAfterTheLag(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	vm := storeclient.VM{
		Name:             "vm-1",
		AvailabilityZone: "este-a",
		Address:          netip.MustParseAddrPort("127.0.0.1:7400"),
		Leaving:          true,
	}
	callControl(t, s, http.MethodPut, "/vms/vm-1", `{"AvailabilityZone":"este-a","Address":"127.0.0.1:7400","Leaving":true}`)
	list, err := c.VMs(ctx)
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(list, []storeclient.VM{vm}), "%v", list)
	callControl(t, s, http.MethodPost, "/switch?VMLag=1h", "")
	callControl(t, s, http.MethodDelete, "/vms/vm-1", "")
	list, err = c.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	callControl(t, s, http.MethodPost, "/switch?VMLag=0s", "")
	list, err = c.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}
