// Package router selects the route of a request by its host and the longest matching path prefix.
package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Destination says which services a route's requests go to. It is sealed: Single, Split or Fanout.
type Destination interface{ isDestination() }

// Single sends each request to one backend server of a service.
type Single struct {
	Service string
}

// Split sends each request to one backend server of one of several services.
type Split struct {
	// Services has at least one entry with a positive weight.
	Services []WeightedService
}

// WeightedService is the part of the requests that a service gets, as a weight among those of its Split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Fanout sends each request to one backend server of every shard and merges the answers.
type Fanout struct {
	// Shards are the services of one partition of the index, without duplicates.
	Shards []string
	// TopK is how many of the greatest records the merged answer has.
	TopK int
	// MinShardFraction of the shards must be in a successful answer, 0 to 1.
	MinShardFraction float64
}

// MinShards returns the number of shards that a successful answer needs, at least 1.
func (f Fanout) MinShards() int {
	n := len(f.Shards)
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= f.MinShardFraction {
			return k
		}
	}
	return n
}

func (Single) isDestination() {}
func (Split) isDestination()  {}
func (Fanout) isDestination() {}

// Route is a rule for the requests whose host and path it matches. It is immutable.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once; others at most once.
	Idempotent bool
	// Timeout is how long a request may take, 0 when the operator sets no bound.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value, 0 when there is none.
	TargetLatency time.Duration
	// MaxAttempts is the greatest number of backend servers of a service to which one request is sent, at least 1.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// AllowedRegions are the only ones whose backend servers may get the requests; empty allows all.
	AllowedRegions []string
	Destination    Destination
}

// AllowsRegion reports whether backend servers of a region may get the route's requests.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Service is what the configuration says of all backend servers of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a backend server accepts from all VMs together, 0 when unknown.
	MaxConnections int
	// MaxColdRate is the number of requests a second that a cold backend server bears, 0 when no bound is stated.
	MaxColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is the greatest size of a body, 0 when no bound is stated.
	MaxBodyBytes int
}

// Config is one version of the configuration.
type Config struct {
	// Version grows with each configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table finds routes. It is immutable.
type Table struct {
	Config
	// Loaded is false as long as no configuration is known.
	Loaded bool
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns the table of a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Config: cfg,
		Loaded: true,
		byHost: map[string][]*Route{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Match returns the route of a host, with or without a port, and a path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.byHost[host[:i]]
		}
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
