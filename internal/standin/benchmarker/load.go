package benchmarker

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	// maxOutstanding bounds the requests that wait for an answer. A request above it is counted as failed.
	maxOutstanding = 4096
	maxLatency     = 10 * time.Second
	// precision is the number of significant digits of the histogram.
	precision = 3
)

// sender sends one query. Its answer says what a caller sees.
type sender func(n int, q launcher.Query) (launcher.Response, error)

// second counts the queries whose send time falls into one second of a run.
type second struct {
	Sent     int
	Answered int
	Full     int
	Late     int
	// CoverageSum is the sum of the coverage fractions.
	CoverageSum float64
}

// result is the outcome of one load.
type result struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	seconds []second
	codes   map[string]int
}

func (r *result) total() second {
	var sum second
	for _, s := range r.seconds {
		sum.Sent += s.Sent
		sum.Answered += s.Answered
		sum.Full += s.Full
		sum.Late += s.Late
		sum.CoverageSum += s.CoverageSum
	}
	return sum
}

func (r *result) quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// load is an open-loop load: queries are sent at their planned times whether or not earlier ones were answered, and latency
// counts from the planned time, so that a slow system does not slow its own measurement.
type load struct {
	application string
	route       string
	rate        float64
	length      time.Duration
	deadline    time.Duration
	send        sender

	outstanding atomic.Int64
	result      *result
}

func (l *load) run() *result {
	l.result = &result{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		seconds: make([]second, int(l.length/time.Second)+1),
		codes:   map[string]int{},
	}
	var wg sync.WaitGroup
	start := time.Now()
	gap := time.Duration(float64(time.Second) / l.rate)
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * gap)
		if due.Sub(start) >= l.length {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() {
			l.query(n, due, due.Sub(start))
		})
	}
	wg.Wait()
	return l.result
}

func (l *load) query(n int, due time.Time, offset time.Duration) {
	var a launcher.Response
	err := fmt.Errorf("too many requests wait")
	if l.outstanding.Add(1) <= maxOutstanding {
		a, err = l.send(n, launcher.Query{
			Application: l.application,
			Route:       l.route,
			Body:        fmt.Sprintf("%s %d %d", l.application, due.UnixNano(), n),
			Limit:       hitLimit,
			Deadline:    l.deadline,
		})
	}
	l.outstanding.Add(-1)
	l.count(a, err, time.Since(due), int(offset/time.Second))
}

func (l *load) count(a launcher.Response, err error, latency time.Duration, at int) {
	r := l.result
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.seconds[at]
	s.Sent++
	if err != nil || !a.Code.Answered() {
		code := a.CodeName
		if err != nil {
			code = "NoAnswer"
		}
		r.codes[code]++
		return
	}
	r.codes[a.CodeName]++
	_ = r.latency.RecordValue(min(latency, maxLatency).Microseconds())
	s.Answered++
	s.CoverageSum += a.Coverage.Fraction
	if a.Coverage.Fraction >= 1 {
		s.Full++
	}
	if latency > l.deadline {
		s.Late++
	}
}
