package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

type searchService struct {
	entered chan struct{}
	release chan struct{}
}

func (s *searchService) Search(req *SearchRequest, reply *SearchReply) (err error) {
	defer RecoverCall(&err)
	switch req.RequestID {
	case "panic":
		panic("a fault in a call")
	case "shed":
		return fmt.Errorf("wrapped: %w", classifier.Errorf(classifier.Shed, "no slot (now)"))
	case "plain":
		return errors.New("a plain error")
	case "wait":
		s.entered <- struct{}{}
		<-s.release
	}
	reply.Token = req.Fingerprint
	reply.Hits = makeHits(10)
	return nil
}

type collectService struct{}

func (*collectService) Collect(req *CollectRequest, reply *SearchReply) error {
	reply.Token = req.Token
	return nil
}

func makeHits(n int) []Hit {
	all := make([]Hit, n)
	for i := range all {
		all[i] = Hit{
			ID:    fmt.Sprintf("document-%d", i),
			Score: float64(i),
			Body:  make([]byte, 400),
		}
	}
	return all
}

func newSearchRequest(id string) *SearchRequest {
	req := &SearchRequest{
		RequestID:   id,
		Application: "buscador",
		Route:       "search",
		Fingerprint: 7,
		Snapshot:    41,
		Limit:       10,
		Body:        make([]byte, 100),
		Remaining:   100 * time.Millisecond,
	}
	for i := range 5 {
		req.Subs = append(req.Subs, SubRequest{
			ID:      uint32(i),
			Replica: fmt.Sprintf("buscador-%d-a", i),
			Shard:   i,
		})
	}
	return req
}

type fixture struct {
	service *searchService
	pool    *Pool
	addr    netip.AddrPort
	server  *recorder.Recorder
	client  *recorder.Recorder
	stop    context.CancelFunc
	done    chan error
}

func startFixture(t testing.TB, c wireCodec) *fixture {
	clock := timer.NewWall()
	f := &fixture{
		service: &searchService{
			entered: make(chan struct{}),
			release: make(chan struct{}),
		},
		server: recorder.New("server", clock),
		client: recorder.New("client", clock),
		done:   make(chan error, 1),
	}
	s := NewServer(f.server, logger.Discard())
	s.codec = c
	assert.NilError(t, s.Register("Owner", f.service))
	assert.NilError(t, s.Register("Owner", &collectService{}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.addr = netip.MustParseAddrPort(ln.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() {
		f.done <- s.Serve(ctx, ln)
	}()
	f.pool = NewPool(f.client, logger.Discard())
	f.pool.codec = c
	t.Cleanup(func() {
		_ = f.pool.Close()
		cancel()
	})
	return f
}

func (f *fixture) call(id string, timeout time.Duration) (SearchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply SearchReply
	err := f.pool.Call(ctx, f.addr, MethodSearch, newSearchRequest(id), &reply)
	return reply, err
}

const longTimeout = 20 * time.Second

// Guards against result codes that are lost on the wire, wrong codes for calls that time out, messages without stamps, and
// receivers of the same name of which only one is reachable.
func TestCalls(t *testing.T) {
	for _, c := range []wireCodec{gobCodec, msgpackCodec} {
		t.Run(c.name, func(t *testing.T) {
			f := startFixture(t, c)
			ahead := recorder.Stamp{
				Wall: time.Now().Add(30 * time.Second).UnixMicro(),
			}
			f.client.Observe(ahead)
			reply, err := f.call("ok", longTimeout)
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Hits), 10)
			assert.Assert(t, f.server.NextStamp().Compare(ahead) > 0)
			assert.Assert(t, reply.Stamp.Compare(ahead) > 0)

			var collected SearchReply
			assert.NilError(t, f.pool.Call(context.Background(), f.addr, MethodCollect, CollectRequest{
				Token: 9,
			}, &collected))
			assert.Equal(t, collected.Token, uint64(9))

			_, err = f.call("shed", longTimeout)
			assert.Equal(t, classifier.CodeOf(err), classifier.Shed)
			_, err = f.call("plain", longTimeout)
			assert.Equal(t, classifier.CodeOf(err), classifier.Internal)
			_, err = f.call("panic", longTimeout)
			assert.Equal(t, classifier.CodeOf(err), classifier.Internal)
			_, err = f.call("ok", longTimeout)
			assert.NilError(t, err)

			go func() {
				<-f.service.entered
			}()
			reply, err = f.call("wait", 50*time.Millisecond)
			assert.Equal(t, classifier.CodeOf(err), classifier.Timeout)
			assert.Equal(t, len(reply.Hits), 0)
			close(f.service.release)
		})
	}
}

// Guards against a refused dial that is not reported as ECONNREFUSED, and against a call during the backoff that reports the
// earlier refusal as a new one.
func TestRefusedAddress(t *testing.T) {
	f := startFixture(t, defaultCodec)
	f.stop()
	assert.NilError(t, <-f.done)
	_, err := f.call("ok", longTimeout)
	assert.Equal(t, classifier.CodeOf(err), classifier.NotSent)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
	f.pool.mu.Lock()
	f.pool.peers[f.addr].blockedUntil = time.Now().Add(longTimeout)
	f.pool.mu.Unlock()
	_, err = f.call("ok", longTimeout)
	assert.Equal(t, classifier.CodeOf(err), classifier.NotSent)
	assert.Assert(t, !errors.Is(err, syscall.ECONNREFUSED))
	// A heartbeat dials during the backoff, because only a new refusal proves that the process has ended.
	err = f.pool.Call(t.Context(), f.addr, MethodHeartbeat, &HeartbeatRequest{}, &HeartbeatReply{})
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against a shutdown that closes the connection of a running call before it is answered.
func TestServeAnswersRunningCalls(t *testing.T) {
	f := startFixture(t, defaultCodec)
	got := make(chan error, 1)
	go func() {
		_, err := f.call("wait", longTimeout)
		got <- err
	}()
	<-f.service.entered
	f.stop()
	select {
	case <-f.done:
		t.Fatal("Serve returned while a call was running")
	case <-time.After(50 * time.Millisecond):
	}
	close(f.service.release)
	assert.NilError(t, <-got)
	assert.NilError(t, <-f.done)
}

// Guards against a call whose connection broke after it was sent but that is reported as NotSent, and against a broken connection
// that is used again.
func TestBrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	f := startFixture(t, defaultCodec)
	f.addr = netip.MustParseAddrPort(ln.Addr().String())
	for range 3 {
		_, err = f.call("ok", longTimeout)
		assert.Equal(t, classifier.CodeOf(err), classifier.ConnectionReset)
	}
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	assert.Equal(t, len(f.pool.peers[f.addr].conns), 0)
}

// Compares the codecs with a request of 5 sub-requests and a reply of 10 hits of 400 bytes. The CPU time is that of the whole
// process, which includes client, server and the kernel's loopback.
func BenchmarkCall(b *testing.B) {
	for _, c := range []wireCodec{gobCodec, msgpackCodec} {
		b.Run(c.name, func(b *testing.B) {
			f := startFixture(b, c)
			_, err := f.call("ok", longTimeout)
			assert.NilError(b, err)
			b.ReportAllocs()
			before := processorTime(b)
			b.ResetTimer()
			for b.Loop() {
				if _, err := f.call("ok", longTimeout); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
