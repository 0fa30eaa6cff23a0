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

// lateAnswerDelay is how long after the deadline a late response is sent.
const lateAnswerDelay = 50 * time.Millisecond

// response is the HTTP response to a request; refusal is the value of connector.HeaderRefusal.
type response struct {
	status  int
	refusal string
	body    any
}

var (
	shedResponse         = errorResponse(http.StatusServiceUnavailable, connector.RefusalShed)
	drainingResponse     = errorResponse(http.StatusServiceUnavailable, connector.RefusalDraining)
	snapshotGoneResponse = errorResponse(http.StatusGone, "")
	failedResponse       = errorResponse(http.StatusInternalServerError, "")
	expiredResponse      = errorResponse(http.StatusGatewayTimeout, "")
)

func errorResponse(status int, refusal string) response {
	return response{
		status:  status,
		refusal: refusal,
	}
}

// job is one search or operation.
type job struct {
	route string
	body  []byte
	// selectSnapshot selects the snapshot to search and reports whether the server holds the requested one. The caller holds
	// Server.mu.
	selectSnapshot func() bool
	// recordRun records that the request runs. The caller holds Server.mu.
	recordRun func()
	// answerBody returns the value to encode as the response body; searched is the number of parts searched.
	answerBody func(searched int, report connector.Report) any
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+connector.PathSearch, func(w http.ResponseWriter, r *http.Request) {
		var q connector.SearchRequest
		if decode(w, r, &q) {
			s.handle(w, r, s.searchJob(q))
		}
	})
	mux.HandleFunc("POST "+connector.PathRun, func(w http.ResponseWriter, r *http.Request) {
		var o connector.Operation
		if decode(w, r, &o) {
			s.handle(w, r, s.operationJob(o))
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

func (s *Server) searchJob(q connector.SearchRequest) job {
	var held connector.HeldSnapshot
	return job{
		route: q.Route,
		body:  q.Body,
		selectSnapshot: func() bool {
			i := slices.IndexFunc(s.heldSnapshots, func(h connector.HeldSnapshot) bool {
				return h.Snapshot == q.Snapshot && h.Shard == q.Shard
			})
			if i >= 0 {
				held = s.heldSnapshots[i]
				s.substituteSnapshot(&held)
			}
			return i >= 0
		},
		recordRun: func() {
			s.counters.Searches++
		},
		answerBody: func(searched int, report connector.Report) any {
			return connector.SearchResponse{
				Held:     held,
				Searched: searched,
				Total:    corpus.PartsPerShard,
				Hits:     corpus.TopPartialShardHits(held.Snapshot, held.Shard, held.Of, searched, q.Body, q.Limit),
				Report:   report,
			}
		},
	}
}

// substituteSnapshot replaces held with another held snapshot if Switches.Substituted is positive. The caller holds s.mu.
func (s *Server) substituteSnapshot(held *connector.HeldSnapshot) {
	i := slices.IndexFunc(s.heldSnapshots, func(h connector.HeldSnapshot) bool { return h.Snapshot != held.Snapshot })
	if i >= 0 && decrementIfPositive(&s.switches.Substituted) {
		*held = s.heldSnapshots[i]
	}
}

func (s *Server) operationJob(o connector.Operation) job {
	var runs int
	return job{
		route: o.Route,
		body:  o.Body,
		selectSnapshot: func() bool {
			return true
		},
		recordRun: func() {
			s.counters.Operations[o.OperationID]++
			s.appendToOperationLog(o.OperationID)
			runs = s.counters.Operations[o.OperationID]
		},
		answerBody: func(_ int, report connector.Report) any {
			return connector.OperationResponse{
				Body:   fmt.Appendf(nil, `{"OperationID":%q,"Runs":%d}`, o.OperationID, runs),
				Report: report,
			}
		},
	}
}

// appendToOperationLog appends the line in a single write, so that lines of several servers do not interleave. It ends the
// process when the write fails, because an incomplete log would hide the faults that tests look for in it.
func (s *Server) appendToOperationLog(id string) {
	if s.operationLog == nil {
		return
	}
	if _, err := s.operationLog.WriteString(id + "\n"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if !s.waitUntilUnfrozen(r.Context()) {
		return
	}
	s.mu.Lock()
	s.counters.Statuses++
	st := connector.Status{
		Report: s.report(),
		Held:   s.heldSnapshots,
	}
	s.mu.Unlock()
	writeResponse(w, r.Header.Get(connector.HeaderRequestID), response{
		status: http.StatusOK,
		body:   st,
	})
}

// handle processes a job and sends the response, unless the client has closed the connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, j job) {
	ctx := r.Context()
	var deadline time.Time
	if ms, err := strconv.Atoi(r.Header.Get(connector.HeaderRemaining)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	seq, coldDelay, accepted := s.beginRequest(r.Context())
	defer s.endRequest(seq)
	resp := shedResponse
	if accepted {
		resp = s.process(ctx, j, coldDelay)
	}
	if !s.waitUntilUnfrozen(r.Context()) || r.Context().Err() != nil {
		s.updateCounters(func(c *Counters) { c.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, resp, deadline)
}

// beginRequest counts a request and returns its arrival number. accepted is false if a cold server sheds the request;
// otherwise coldDelay is the delay that a cold server adds.
func (s *Server) beginRequest(ctx context.Context) (seq int, coldDelay time.Duration, accepted bool) {
	s.mu.Lock()
	s.counters.Requests++
	s.counters.Present++
	seq = s.counters.Requests
	s.requestContexts[seq] = ctx
	active, limit := s.counters.Present, s.updateConcurrencyLimit()
	concurrent := slices.Collect(maps.Keys(s.requestContexts))
	s.mu.Unlock()
	if active > limit {
		sleep(ctx, excessGrace)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConcurrency = max(s.counters.MaxConcurrency, min(active, s.cfg.Slots), s.countActive(concurrent))
	active = min(active, s.counters.Present)
	if s.switches.Draining && time.Now().After(s.drainGraceEnd) {
		s.counters.AfterDrain++
	}
	if !s.counters.Cold || active <= limit {
		return seq, 0, true
	}
	s.counters.ColdExcess++
	return seq, s.switches.ColdSlow, s.switches.ColdSlow > 0
}

// countActive returns how many of the requests are still present and not cancelled. The caller holds s.mu.
func (s *Server) countActive(seqs []int) int {
	n := 0
	for _, seq := range seqs {
		if ctx := s.requestContexts[seq]; ctx != nil && ctx.Err() == nil {
			n++
		}
	}
	return n
}

func (s *Server) endRequest(seq int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Present--
	delete(s.requestContexts, seq)
}

func (s *Server) updateCounters(f func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}

// waitUntilUnfrozen waits while the server is frozen. It returns false if ctx is done first.
func (s *Server) waitUntilUnfrozen(ctx context.Context) bool {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if unfrozen == nil {
		return true
	}
	select {
	case <-unfrozen:
		return true
	case <-ctx.Done():
		return false
	}
}

// process waits for a slot, then refuses or runs the request.
func (s *Server) process(ctx context.Context, j job, coldDelay time.Duration) response {
	if !s.waitUntilUnfrozen(ctx) {
		return expiredResponse
	}
	if !s.acquireSlot(ctx) {
		return shedResponse
	}
	defer func() {
		<-s.slots
	}()
	s.mu.Lock()
	resp, refused := s.checkRefusal(j)
	if !refused {
		j.recordRun()
		s.running++
		defer s.finishRun()
	}
	sw, running := s.switches, s.running
	wait := coldDelay + s.serviceTime(j.route)
	fails := routeMatches(sw.FailRoute, j.route) && s.rng.Float64() < sw.FailShare
	crashes := !refused && sw.CrashShare > 0 && s.rng.Float64() < sw.CrashShare
	s.mu.Unlock()
	if refused {
		return resp
	}
	if crashes || s.cfg.CrashMarker != "" && bytes.Contains(j.body, []byte(s.cfg.CrashMarker)) {
		s.cfg.OnCrash()
	}
	if !sleep(ctx, wait) {
		return expiredResponse
	}
	if fails || sw.FailAbove > 0 && running > sw.FailAbove {
		return failedResponse
	}
	s.mu.Lock()
	s.answersSinceCold++
	report := s.report()
	s.mu.Unlock()
	return response{
		status: http.StatusOK,
		body:   j.answerBody(sw.Searched, report),
	}
}

func (s *Server) finishRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// acquireSlot waits in the queue for a slot. It returns false if the queue is full, ctx is done or Config.QueueTimeout has
// elapsed.
func (s *Server) acquireSlot(ctx context.Context) bool {
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

// checkRefusal reports whether the request must not run, and the response to send in that case. The caller holds s.mu.
func (s *Server) checkRefusal(j job) (response, bool) {
	switch {
	case s.switches.Draining && time.Now().After(s.drainGraceEnd):
		return drainingResponse, true
	case !j.selectSnapshot():
		return snapshotGoneResponse, true
	default:
		return response{}, false
	}
}

// serviceTime returns the processing time of a request, which is random if Switches.StraggleShare is set. The caller holds s.mu.
func (s *Server) serviceTime(route string) time.Duration {
	d := s.switches.ServiceTime
	if s.rng.Float64() < s.switches.StraggleShare {
		d += time.Duration(s.rng.Float64() * float64(s.switches.StraggleTime))
	}
	if routeMatches(s.switches.SlowRoute, route) {
		d += s.switches.SlowTime
	}
	return d
}

func routeMatches(pattern, route string) bool {
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

// respond sends resp with the faults that Late, Crossed, Duplicated and Reset request.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, resp response, deadline time.Time) {
	id := r.Header.Get(connector.HeaderRequestID)
	s.mu.Lock()
	lastRequestID, lastResponse := s.lastRequestID, s.lastResponse
	s.lastRequestID, s.lastResponse = id, resp
	late := decrementIfPositive(&s.switches.Late)
	crossed := decrementIfPositive(&s.switches.Crossed)
	duplicated := decrementIfPositive(&s.switches.Duplicated)
	reset := decrementIfPositive(&s.switches.Reset)
	if resp.refusal == connector.RefusalShed {
		s.counters.Shed++
	}
	s.mu.Unlock()
	if late && !deadline.IsZero() {
		time.Sleep(time.Until(deadline) + lateAnswerDelay)
	}
	switch {
	case crossed && lastRequestID != "" && lastRequestID != id:
		id, resp = lastRequestID, lastResponse
	case crossed:
		id = "Other-" + id
	}
	switch {
	case reset:
		panic(http.ErrAbortHandler)
	case duplicated:
		writeResponseTwice(w, id, resp)
	default:
		writeResponse(w, id, resp)
	}
}

func decrementIfPositive(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func writeResponse(w http.ResponseWriter, id string, resp response) {
	w.Header().Set(connector.HeaderRequestID, id)
	if resp.refusal != "" {
		w.Header().Set(connector.HeaderRefusal, resp.refusal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	if resp.body != nil {
		_ = json.NewEncoder(w).Encode(resp.body)
	}
}

// writeResponseTwice hijacks the connection, sends the response twice and keeps the connection open until the client closes it.
func writeResponseTwice(w http.ResponseWriter, id string, resp response) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	body, _ := json.Marshal(resp.body)
	message := fmt.Sprintf("HTTP/1.1 %d Answer\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		resp.status, connector.HeaderRequestID, id, len(body), body)
	if _, err := io.WriteString(conn, message+message); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
