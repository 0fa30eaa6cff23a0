package searcher

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the cache of succeeded fingerprints. Its two generations are rotated after each period or when the current one is
// full, so that a fingerprint normally remains for one to two periods.
const (
	fingerprintCacheCapacity = 1 << 15 // per generation
	fingerprintCachePeriod   = 5 * time.Minute
)

// Fingerprint returns a hash of the application, the route and the body. Requests with the same fingerprint count as equal; the
// request ID is not part of it.
func Fingerprint(application, route string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(application)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(route)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

// fingerprintCache contains the fingerprints of requests that a backend server answered recently.
type fingerprintCache struct {
	mu        sync.Mutex
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt time.Time
}

func (c *fingerprintCache) contains(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if _, ok := c.current[fingerprint]; ok {
		return true
	}
	_, ok := c.previous[fingerprint]
	return ok
}

func (c *fingerprintCache) add(fingerprint uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	c.current[fingerprint] = struct{}{}
}

func (c *fingerprintCache) remove(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, fingerprint)
	delete(c.previous, fingerprint)
}

func (c *fingerprintCache) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if c.current != nil && len(c.current) < fingerprintCacheCapacity && age < fingerprintCachePeriod {
		return
	}
	c.previous = c.current
	if age >= 2*fingerprintCachePeriod {
		c.previous = nil
	}
	c.current = map[uint64]struct{}{}
	c.rotatedAt = now
}
