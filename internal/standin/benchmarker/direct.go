package benchmarker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// direct is the baseline without owners, ramp, hedges and retries: each of several entry points opens its own connections to
// all replicas and sends one try to each shard.
type direct struct {
	points []*point
	shards [][]parser.BackendServer
}

// point is one entry point with its own connections.
type point struct {
	mu   sync.Mutex
	idle map[string][]connector.Conn
}

func newDirect(c *launcher.Cluster, application string, points int) *direct {
	d := &direct{}
	services := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok && s.Application == application {
			services[s.Name] = s.Shard
		}
	}
	d.shards = make([][]parser.BackendServer, len(services))
	for _, o := range c.Set {
		if b, ok := o.(parser.BackendServer); ok {
			if shard, ok := services[b.Service]; ok {
				d.shards[shard] = append(d.shards[shard], b)
			}
		}
	}
	for range points {
		d.points = append(d.points, &point{
			idle: map[string][]connector.Conn{},
		})
	}
	return d
}

func (d *direct) close() {
	for _, p := range d.points {
		for _, conns := range p.idle {
			for _, c := range conns {
				_ = c.Close()
			}
		}
	}
}

func (d *direct) send(n int, q launcher.Query) (launcher.Response, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	p := d.points[n%len(d.points)]
	answered := make([]bool, len(d.shards))
	var wg sync.WaitGroup
	for shard, servers := range d.shards {
		wg.Go(func() {
			answered[shard] = p.try(ctx, servers[n/len(d.points)%len(servers)], n, shard, q) == nil
		})
	}
	wg.Wait()
	var a launcher.Response
	a.Coverage.Of = len(d.shards)
	for _, ok := range answered {
		if ok {
			a.Coverage.Answered++
		}
	}
	a.Coverage.Fraction = float64(a.Coverage.Answered) / float64(a.Coverage.Of)
	a.Code = classifier.Partial
	if a.Coverage.Answered == a.Coverage.Of {
		a.Code = classifier.OK
	}
	if a.Coverage.Answered == 0 {
		return a, errors.New("no shard answered")
	}
	a.CodeName = a.Code.String()
	a.Latency = time.Since(start)
	return a, nil
}

func (p *point) try(ctx context.Context, server parser.BackendServer, n, shard int, q launcher.Query) error {
	conn, err := p.take(ctx, server)
	if err != nil {
		return err
	}
	_, err = conn.Search(ctx, connector.SearchRequest{
		RequestID:   fmt.Sprintf("direct-%d-%d", n, shard),
		Application: q.Application,
		Route:       q.Route,
		Snapshot:    snapshot,
		Shard:       shard,
		Limit:       q.Limit,
		Body:        []byte(q.Body),
	})
	p.give(server.Name, conn)
	return err
}

func (p *point) take(ctx context.Context, server parser.BackendServer) (connector.Conn, error) {
	p.mu.Lock()
	if idle := p.idle[server.Name]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		p.idle[server.Name] = idle[:len(idle)-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	return connector.NewHTTPDialer().Dial(ctx, server.Address)
}

func (p *point) give(name string, conn connector.Conn) {
	if !conn.Usable() {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[name] = append(p.idle[name], conn)
}
