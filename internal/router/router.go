// Package router selects the route of a request by its host and longest matching path prefix.
package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Destination determines the services that receive a route's requests. It is sealed: Single, Split or Fanout.
type Destination interface{ isDestination() }

// Single sends each request to one backend server of a service.
type Single struct {
	Service string
}

// Split sends each request to one backend server of one of several services, which is selected at random by weight.
type Split struct {
	// Services contains at least one entry with a positive weight.
	Services []WeightedService
}

// WeightedService is a service of a Split. It receives requests in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Fanout sends each request to one backend server of every shard and merges the answers.
type Fanout struct {
	// Shards are the services to which a request is sent, one for each shard of the index, without duplicates.
	Shards []string
	// TopK is the maximum number of records in the merged answer. The greatest records are kept.
	TopK int
	// MinShardFraction is the fraction of the shards, 0 to 1, that a successful answer has to include.
	MinShardFraction float64
}

// MinShards returns the minimum number of shards in a successful answer, at least 1.
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

// Route is a rule for requests with a matching host and path. It is immutable.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	// Idempotent is true if a request may run more than once. Other requests run at most once.
	Idempotent bool
	// Timeout is the maximum duration of a request, or 0 if the configuration sets no limit.
	Timeout time.Duration
	// TargetLatency is the latency up to which an answer has its full value to the caller, or 0 if there is none.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of backend servers of a service that may run a request, at least 1.
	MaxAttempts int
	// Priority is 0 for the most urgent requests and grows with decreasing urgency.
	Priority int
	// AllowedRegions restricts the backend servers to these regions. An empty list allows all regions.
	AllowedRegions []string
	Destination    Destination
}

// AllowsRegion reports whether backend servers in the region may receive the route's requests.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Service is the configuration that applies to all backend servers of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a backend server accepts from all VMs together, or 0 if unknown.
	MaxConnections int
	// MaxColdRate is the maximum number of requests per second to a cold backend server, or 0 if there is no limit.
	MaxColdRate float64
}

// Limits restricts the requests of callers on all routes.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, or 0 if there is no limit.
	MaxBodyBytes int
}

// Config is one version of the routing configuration.
type Config struct {
	// Version increases with each configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table matches requests to the routes of a Config. It is immutable.
type Table struct {
	Config
	// Loaded is false until a configuration has been received.
	Loaded bool
	// byHost contains the routes of each host in lower case, longest path prefix first.
	byHost map[string][]*Route
}

// NewTable returns the table of a configuration. It keeps references to cfg.Routes, which must not be modified afterwards.
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

// Match returns the route for a host, which may include a port, and a path. It returns nil if no route matches.
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
