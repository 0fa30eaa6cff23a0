package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
)

// lateBy is how long after the deadline a late answer comes.
const lateBy = 50 * time.Millisecond

// outcome is the answer to a request.
type outcome struct {
	status  int
	refusal string
	body    any
}

var (
	shed     = refusal(http.StatusServiceUnavailable, connector.RefusalShed)
	draining = refusal(http.StatusServiceUnavailable, connector.RefusalDraining)
	gone     = refusal(http.StatusGone, "")
	failed   = refusal(http.StatusInternalServerError, "")
	expired  = refusal(http.StatusGatewayTimeout, "")
)

func refusal(status int, reason string) outcome {
	return outcome{
		status:  status,
		refusal: reason,
	}
}

// job is one search or operation.
type job struct {
	route string
	body  []byte
	// check returns false if the request must be refused because its snapshot is not held. It needs the lock.
	check func() bool
	// start counts the request as run. It needs the lock.
	start func()
	// answer returns the body of the answer.
	answer func(searched int, report connector.Report) any
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+connector.PathSearch, func(w http.ResponseWriter, r *http.Request) {
		var q connector.SearchRequest
		if decode(w, r, &q) {
			s.handle(w, r, s.search(q))
		}
	})
	mux.HandleFunc("POST "+connector.PathRun, func(w http.ResponseWriter, r *http.Request) {
		var o connector.Operation
		if decode(w, r, &o) {
			s.handle(w, r, s.operation(o))
		}
	})
	mux.HandleFunc("GET "+connector.PathStatus, s.status)
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (s *Server) search(q connector.SearchRequest) job {
	var held connector.HeldSnapshot
	return job{
		route: q.Route,
		body:  q.Body,
		check: func() bool {
			i := slices.IndexFunc(s.held, func(h connector.HeldSnapshot) bool {
				return h.Snapshot == q.Snapshot && h.Shard == q.Shard
			})
			if i >= 0 {
				held = s.held[i]
				s.substitute(&held)
			}
			return i >= 0
		},
		start: func() {
			s.counters.Searches++
		},
		answer: func(searched int, report connector.Report) any {
			return connector.SearchAnswer{
				Held:     held,
				Searched: searched,
				Total:    corpus.PartsPerShard,
				Hits:     corpus.TopPartialShardHits(held.Snapshot, held.Shard, held.Of, searched, q.Body, q.Limit),
				Report:   report,
			}
		},
	}
}

// substitute replaces held by another snapshot if the switches say so. It needs the lock.
func (s *Server) substitute(held *connector.HeldSnapshot) {
	i := slices.IndexFunc(s.held, func(h connector.HeldSnapshot) bool { return h.Snapshot != held.Snapshot })
	if i >= 0 && takeOne(&s.switches.Substituted) {
		*held = s.held[i]
	}
}

func (s *Server) operation(o connector.Operation) job {
	var runs int
	return job{
		route: o.Route,
		body:  o.Body,
		check: func() bool {
			return true
		},
		start: func() {
			s.counters.Operations[o.OperationID]++
			s.appendJournal(o.OperationID)
			runs = s.counters.Operations[o.OperationID]
		},
		answer: func(_ int, report connector.Report) any {
			return connector.OperationAnswer{
				Body:   fmt.Appendf(nil, `{"OperationID":%q,"Runs":%d}`, o.OperationID, runs),
				Report: report,
			}
		},
	}
}

// appendJournal appends one line by one write, so that lines of several servers do not mix. A journal that lacks an operation would
// hide the faults that it is meant to show, so the process ends when the write fails.
func (s *Server) appendJournal(id string) {
	if s.journal == nil {
		return
	}
	if _, err := s.journal.WriteString(id + "\n"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if !s.thaw(r.Context()) {
		return
	}
	s.mu.Lock()
	s.counters.Statuses++
	st := connector.Status{
		Report: s.report(),
		Held:   s.held,
	}
	s.mu.Unlock()
	send(w, r.Header.Get(connector.HeaderRequestID), outcome{
		status: http.StatusOK,
		body:   st,
	})
}

// handle runs a job between its arrival and its answer.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, j job) {
	ctx := r.Context()
	var deadline time.Time
	if ms, err := strconv.Atoi(r.Header.Get(connector.HeaderRemaining)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	number, extra, ok := s.arrive(r.Context())
	defer s.leave(number)
	out := shed
	if ok {
		out = s.process(ctx, j, extra)
	}
	if !s.thaw(r.Context()) || r.Context().Err() != nil {
		s.count(func(c *Counters) { c.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, out, deadline)
}

// arrive counts a request and returns its number. It returns false when a cold server sheds it, else the time that coldness
// adds.
func (s *Server) arrive(ctx context.Context) (number int, extra time.Duration, ok bool) {
	s.mu.Lock()
	s.counters.Requests++
	s.counters.Present++
	number = s.counters.Requests
	s.present[number] = ctx
	n, bears := s.counters.Present, s.bears()
	together := slices.Collect(maps.Keys(s.present))
	s.mu.Unlock()
	if n > bears {
		sleep(ctx, overlapGrace)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConcurrency = max(s.counters.MaxConcurrency, min(n, s.cfg.Slots), s.remaining(together))
	n = min(n, s.counters.Present)
	if s.switches.Draining && time.Now().After(s.drainAt) {
		s.counters.AfterDrain++
	}
	if !s.counters.Cold || n <= bears {
		return number, 0, true
	}
	s.counters.ColdExcess++
	return number, s.switches.ColdSlow, s.switches.ColdSlow > 0
}

// remaining returns how many of the requests are still present and not cancelled. It needs the lock.
func (s *Server) remaining(numbers []int) int {
	n := 0
	for _, number := range numbers {
		if ctx := s.present[number]; ctx != nil && ctx.Err() == nil {
			n++
		}
	}
	return n
}

func (s *Server) leave(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Present--
	delete(s.present, number)
}

func (s *Server) count(f func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}

// thaw waits while the server is frozen. It returns false when the context ends before.
func (s *Server) thaw(ctx context.Context) bool {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// process refuses a request or runs it in a slot.
func (s *Server) process(ctx context.Context, j job, extra time.Duration) outcome {
	if !s.thaw(ctx) {
		return expired
	}
	if !s.takeSlot(ctx) {
		return shed
	}
	defer func() {
		<-s.slots
	}()
	s.mu.Lock()
	refused, ok := s.refuse(j)
	if !ok {
		j.start()
		s.running++
		defer s.finish()
	}
	sw, running := s.switches, s.running
	wait := extra + s.serviceTime(j.route)
	fails := applies(sw.FailRoute, j.route) && s.random.Float64() < sw.FailShare
	crashes := !ok && sw.CrashShare > 0 && s.random.Float64() < sw.CrashShare
	s.mu.Unlock()
	if ok {
		return refused
	}
	if crashes || s.cfg.CrashMarker != "" && bytes.Contains(j.body, []byte(s.cfg.CrashMarker)) {
		s.cfg.OnCrash()
	}
	if !sleep(ctx, wait) {
		return expired
	}
	if fails || sw.FailAbove > 0 && running > sw.FailAbove {
		return failed
	}
	s.mu.Lock()
	s.warmth++
	report := s.report()
	s.mu.Unlock()
	return outcome{
		status: http.StatusOK,
		body:   j.answer(sw.Searched, report),
	}
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// takeSlot waits in the queue. It returns false when the queue is full or the wait is over.
func (s *Server) takeSlot(ctx context.Context) bool {
	s.mu.Lock()
	full := s.counters.Present > s.cfg.Slots+s.cfg.QueueLength
	s.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		if full {
			return false
		}
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-time.After(s.cfg.QueueTimeout):
		return false
	}
}

// refuse returns the refusal of a request that must not run. It needs the lock.
func (s *Server) refuse(j job) (outcome, bool) {
	switch {
	case s.switches.Draining && time.Now().After(s.drainAt):
		return draining, true
	case !j.check():
		return gone, true
	default:
		return outcome{}, false
	}
}

// serviceTime needs the lock.
func (s *Server) serviceTime(route string) time.Duration {
	d := s.switches.ServiceTime
	if s.random.Float64() < s.switches.StraggleShare {
		d += time.Duration(s.random.Float64() * float64(s.switches.StraggleTime))
	}
	if applies(s.switches.SlowRoute, route) {
		d += s.switches.SlowTime
	}
	return d
}

func applies(pattern, route string) bool {
	return pattern == "*" || pattern != "" && pattern == route
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer sends out, distorted as the switches say.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, out outcome, deadline time.Time) {
	id := r.Header.Get(connector.HeaderRequestID)
	s.mu.Lock()
	lastID, lastOut := s.lastID, s.lastOut
	s.lastID, s.lastOut = id, out
	late := takeOne(&s.switches.Late)
	crossed := takeOne(&s.switches.Crossed)
	duplicated := takeOne(&s.switches.Duplicated)
	reset := takeOne(&s.switches.Reset)
	if out.refusal == connector.RefusalShed {
		s.counters.Shed++
	}
	s.mu.Unlock()
	if late && !deadline.IsZero() {
		time.Sleep(time.Until(deadline) + lateBy)
	}
	switch {
	case crossed && lastID != "" && lastID != id:
		id, out = lastID, lastOut
	case crossed:
		id = "Other-" + id
	}
	switch {
	case reset:
		panic(http.ErrAbortHandler)
	case duplicated:
		sendTwice(w, id, out)
	default:
		send(w, id, out)
	}
}

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func send(w http.ResponseWriter, id string, out outcome) {
	w.Header().Set(connector.HeaderRequestID, id)
	if out.refusal != "" {
		w.Header().Set(connector.HeaderRefusal, out.refusal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(out.status)
	if out.body != nil {
		_ = json.NewEncoder(w).Encode(out.body)
	}
}

// sendTwice takes the connection out of the server, sends the answer twice and leaves the connection open.
func sendTwice(w http.ResponseWriter, id string, out outcome) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	body, _ := json.Marshal(out.body)
	one := fmt.Sprintf("HTTP/1.1 %d Answer\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		out.status, connector.HeaderRequestID, id, len(body), body)
	if _, err := io.WriteString(conn, one+one); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
