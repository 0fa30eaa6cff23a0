// Package budgeter implements the retry budgets of the gateway. For each service it bounds the retries and hedges by the
// number of first requests in a sliding window and by this VM's share of the allowance of all VMs.
package budgeter

import (
	"sync"
	"time"
)

const (
	// steps is the number of parts of a window. A window of whole steps counts up to one step too much, never too little.
	steps = 20
	// safety is the part of the allowance that is spent; the rest covers differences between the clocks of VMs and requests
	// that arrive in a later window than they were sent in.
	safety = 0.8
	// hedgeShare is the part of the allowance that hedges may use, so that retries after failures are left.
	hedgeShare = 0.75
	// shareTime is how long a part of the allowance holds without news: some messages between VMs.
	shareTime = 3 * time.Second
)

// Purpose is the reason for an extra request.
type Purpose int

// Purposes of extra requests.
const (
	// Hedge duplicates a request that is still running.
	Hedge Purpose = iota
	// Retry follows a failure.
	Retry
)

// Config are the bounds of all budgets.
type Config struct {
	Window time.Duration
	// Ratio is the number of extra requests for each first one.
	Ratio float64
	// FixedAllowance is the number of extra requests in a window that all VMs together may send besides.
	FixedAllowance float64
}

// Budgeter holds a budget for each service. Its methods are safe for concurrent use.
type Budgeter struct {
	mu  sync.Mutex
	cfg Config
	// vms is the number of VMs that share Extra, at least 1.
	vms int
	// share is this VM's part of Extra by its load, used until shareUntil; an equal part is used later.
	share      float64
	shareUntil time.Time
	services   map[string]*account
}

// account counts the steps of the window that ends now.
type account struct {
	// last is the number of the newest step.
	last   int64
	firsts [steps]int
	extras [steps]int
}

// New returns a Spender for one of vms VMs.
func New(cfg Config, vms int) *Budgeter {
	return &Budgeter{
		cfg:      cfg,
		vms:      max(vms, 1),
		services: map[string]*account{},
	}
}

// SetVMCount changes the number of VMs that share the allowance.
func (s *Budgeter) SetVMCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(n, 1)
}

// SetShare gives this VM a part of the allowance of all VMs for shareTime.
func (s *Budgeter) SetShare(part float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = part
	s.shareUntil = now.Add(shareTime)
}

// part returns this VM's part of the allowance of all VMs.
func (s *Budgeter) part(now time.Time) float64 {
	if now.Before(s.shareUntil) {
		return s.share
	}
	return 1 / float64(s.vms)
}

// FirstAttempts returns the number of first requests in the window that ends now, over all services.
func (s *Budgeter) FirstAttempts(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := 0
	for name := range s.services {
		for _, n := range s.at(name, now).firsts {
			load += n
		}
	}
	return float64(load)
}

// SetConfig changes the bounds. What was counted in a window of another length is forgotten.
func (s *Budgeter) SetConfig(cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cfg.Window != s.cfg.Window {
		s.services = map[string]*account{}
	}
	s.cfg = cfg
}

// RecordFirstAttempt counts the first request for a service.
func (s *Budgeter) RecordFirstAttempt(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.at(service, now)
	a.firsts[a.last%steps]++
}

// Allow counts an extra request and returns true if the budget allows it.
func (s *Budgeter) Allow(service string, p Purpose, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.at(service, now)
	spent, allowed := s.sum(a, now)
	if p == Hedge {
		allowed *= hedgeShare
	}
	if spent+1 > allowed {
		return false
	}
	a.extras[a.last%steps]++
	return true
}

// sum returns the extra requests in the window of the account, and how many are allowed.
func (s *Budgeter) sum(a *account, now time.Time) (spent, allowed float64) {
	firsts, extras := 0, 0
	for i := range steps {
		firsts += a.firsts[i]
		extras += a.extras[i]
	}
	return float64(extras), safety * (s.cfg.Ratio*float64(firsts) + s.cfg.FixedAllowance*s.part(now))
}

// Usage returns the extra requests of this VM to a service in the window that ends now, and how many are allowed.
func (s *Budgeter) Usage(service string, now time.Time) (spent, allowed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum(s.at(service, now), now)
}

// at returns the account of a service with its window moved up to now.
func (s *Budgeter) at(service string, now time.Time) *account {
	step := now.UnixNano() / int64(s.cfg.Window/steps)
	a, ok := s.services[service]
	if !ok {
		a = &account{
			last: step,
		}
		s.services[service] = a
	}
	for i := max(a.last+1, step-steps+1); i <= step; i++ {
		a.firsts[i%steps] = 0
		a.extras[i%steps] = 0
	}
	a.last = max(a.last, step)
	return a
}

// Retain drops the accounts of services that keep denies.
func (s *Budgeter) Retain(keep func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		if !keep(name) {
			delete(s.services, name)
		}
	}
}
