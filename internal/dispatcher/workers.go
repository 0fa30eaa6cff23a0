package dispatcher

import "sync"

// maxIdleWorkers limits the idle workers. They are enough for all attempts of a search over about a hundred shards. Each idle
// worker holds a stack of 8 KB.
const maxIdleWorkers = 256

// workerPool runs attempts on reused goroutines. The stack of a new goroutine has to grow in each attempt, which took 5 percent
// of the CPU time of a search.
type workerPool struct {
	mu sync.Mutex
	// idle is a stack: the most recently used worker is last.
	idle []*worker
}

// worker is a goroutine of a workerPool.
type worker struct {
	pool     *workerPool
	attempts chan *attempt
}

// start runs an attempt on an idle worker, or on a new one if none is idle.
func (p *workerPool) start(a *attempt) {
	p.mu.Lock()
	var w *worker
	if n := len(p.idle); n > 0 {
		w = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if w == nil {
		w = &worker{
			pool:     p,
			attempts: make(chan *attempt, 1),
		}
		go w.run()
	}
	w.attempts <- a
}

// run executes attempts until the pool has enough idle workers.
func (w *worker) run() {
	for a := range w.attempts {
		a.run()
		if !w.pool.putIdle(w) {
			return
		}
	}
}

// putIdle returns the worker to the pool. It reports false if the pool is full and the worker has to exit.
func (p *workerPool) putIdle(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, w)
	return true
}
