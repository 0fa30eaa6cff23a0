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
	// maxOutstanding limits the requests that wait for a response. A request beyond the limit is not sent and counts as failed.
	maxOutstanding = 4096
	// maxLatency is the upper bound of the histogram; longer latencies are recorded as this value.
	maxLatency = 10 * time.Second
	// latencyPrecision is the number of significant decimal digits of the histogram.
	latencyPrecision = 3
)

// sendFunc sends the query with the sequence number n and returns the response that a caller receives.
type sendFunc func(n int, q launcher.Query) (launcher.Response, error)

// secondStats contains the counts for queries whose planned send time is within one second of a run.
type secondStats struct {
	Sent     int
	Answered int
	// Full counts the answered queries with coverage of all shards.
	Full int
	// Late counts the answered queries whose latency exceeds the deadline.
	Late int
	// CoverageSum is the sum of the coverage fractions of the answered queries.
	CoverageSum float64
}

type loadResult struct {
	mu sync.Mutex
	// latency contains the latencies of the answered queries in microseconds.
	latency *hdrhistogram.Histogram
	seconds []secondStats
	// codes counts the queries by the name of the result code; queries without a response are counted under "NoAnswer".
	codes map[string]int
}

func (r *loadResult) total() secondStats {
	var sum secondStats
	for _, s := range r.seconds {
		sum.Sent += s.Sent
		sum.Answered += s.Answered
		sum.Full += s.Full
		sum.Late += s.Late
		sum.CoverageSum += s.CoverageSum
	}
	return sum
}

func (r *loadResult) quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// loadGenerator generates an open-loop load: it sends queries at planned times regardless of responses to earlier ones, and
// measures latency from the planned time. A slow system therefore neither reduces the load nor hides its latency (coordinated
// omission).
type loadGenerator struct {
	application string
	route       string
	// rate is in queries per second.
	rate     float64
	duration time.Duration
	deadline time.Duration
	send     sendFunc

	outstanding atomic.Int64
	result      *loadResult
}

func (l *loadGenerator) run() *loadResult {
	l.result = &loadResult{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision),
		seconds: make([]secondStats, int(l.duration/time.Second)+1),
		codes:   map[string]int{},
	}
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / l.rate)
	for n := 0; ; n++ {
		planned := start.Add(time.Duration(n) * interval)
		if planned.Sub(start) >= l.duration {
			break
		}
		time.Sleep(time.Until(planned))
		wg.Go(func() {
			l.sendQuery(n, planned, planned.Sub(start))
		})
	}
	wg.Wait()
	return l.result
}

func (l *loadGenerator) sendQuery(n int, planned time.Time, offset time.Duration) {
	var resp launcher.Response
	err := fmt.Errorf("too many outstanding requests")
	if l.outstanding.Add(1) <= maxOutstanding {
		resp, err = l.send(n, launcher.Query{
			Application: l.application,
			Route:       l.route,
			Body:        fmt.Sprintf("%s %d %d", l.application, planned.UnixNano(), n),
			Limit:       hitLimit,
			Deadline:    l.deadline,
		})
	}
	l.outstanding.Add(-1)
	l.record(resp, err, time.Since(planned), int(offset/time.Second))
}

func (l *loadGenerator) record(resp launcher.Response, err error, latency time.Duration, second int) {
	r := l.result
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.seconds[second]
	s.Sent++
	if err != nil || !resp.Code.Answered() {
		code := resp.CodeName
		if err != nil {
			code = "NoAnswer"
		}
		r.codes[code]++
		return
	}
	r.codes[resp.CodeName]++
	_ = r.latency.RecordValue(min(latency, maxLatency).Microseconds())
	s.Answered++
	s.CoverageSum += resp.Coverage.Fraction
	if resp.Coverage.Fraction >= 1 {
		s.Full++
	}
	if latency > l.deadline {
		s.Late++
	}
}
