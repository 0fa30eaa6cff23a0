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

// directClient is the baseline without replica ownership, warm-up ramp, hedging and retries: each of several entry points opens
// its own connections to all replicas and sends one attempt to each shard.
type directClient struct {
	entryPoints []*entryPoint
	// replicas are the backend servers of each shard.
	replicas [][]parser.BackendServer
}

// entryPoint stands for an entry VM.
type entryPoint struct {
	mu sync.Mutex
	// idleConns are the unused connections to each backend server, by its name.
	idleConns map[string][]connector.Conn
}

func newDirectClient(c *launcher.Cluster, application string, count int) *directClient {
	d := &directClient{}
	services := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok && s.Application == application {
			services[s.Name] = s.Shard
		}
	}
	d.replicas = make([][]parser.BackendServer, len(services))
	for _, o := range c.Set {
		if b, ok := o.(parser.BackendServer); ok {
			if shard, ok := services[b.Service]; ok {
				d.replicas[shard] = append(d.replicas[shard], b)
			}
		}
	}
	for range count {
		d.entryPoints = append(d.entryPoints, &entryPoint{
			idleConns: map[string][]connector.Conn{},
		})
	}
	return d
}

func (d *directClient) close() {
	for _, p := range d.entryPoints {
		for _, conns := range p.idleConns {
			for _, c := range conns {
				_ = c.Close()
			}
		}
	}
}

func (d *directClient) send(seq int, q launcher.Query) (launcher.Response, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	p := d.entryPoints[seq%len(d.entryPoints)]
	answered := make([]bool, len(d.replicas))
	var wg sync.WaitGroup
	for shard, servers := range d.replicas {
		wg.Go(func() {
			answered[shard] = p.trySearch(ctx, servers[seq/len(d.entryPoints)%len(servers)], seq, shard, q) == nil
		})
	}
	wg.Wait()
	var resp launcher.Response
	resp.Coverage.Of = len(d.replicas)
	for _, ok := range answered {
		if ok {
			resp.Coverage.Answered++
		}
	}
	resp.Coverage.Fraction = float64(resp.Coverage.Answered) / float64(resp.Coverage.Of)
	resp.Code = classifier.Partial
	if resp.Coverage.Answered == resp.Coverage.Of {
		resp.Code = classifier.OK
	}
	if resp.Coverage.Answered == 0 {
		return resp, errors.New("no shard answered")
	}
	resp.CodeName = resp.Code.String()
	resp.Latency = time.Since(start)
	return resp, nil
}

func (p *entryPoint) trySearch(ctx context.Context, server parser.BackendServer, seq, shard int, q launcher.Query) error {
	conn, err := p.acquireConn(ctx, server)
	if err != nil {
		return err
	}
	_, err = conn.Search(ctx, connector.SearchRequest{
		RequestID:   fmt.Sprintf("direct-%d-%d", seq, shard),
		Application: q.Application,
		Route:       q.Route,
		Snapshot:    snapshot,
		Shard:       shard,
		Limit:       q.Limit,
		Body:        []byte(q.Body),
	})
	p.releaseConn(server.Name, conn)
	return err
}

func (p *entryPoint) acquireConn(ctx context.Context, server parser.BackendServer) (connector.Conn, error) {
	p.mu.Lock()
	if idle := p.idleConns[server.Name]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		p.idleConns[server.Name] = idle[:len(idle)-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	return connector.NewHTTPDialer().Dial(ctx, server.Address)
}

func (p *entryPoint) releaseConn(name string, conn connector.Conn) {
	if !conn.Usable() {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleConns[name] = append(p.idleConns[name], conn)
}
